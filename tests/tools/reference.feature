Feature: Reference pages say what the source says

  Scenario Outline: The reference page <page> matches the source
    Then the reference page "<page>" is what the command writes

    Examples: pages
      | page        |
      | EVENTS.md   |
      | SETTINGS.md |
      | METRICS.md  |

  Scenario: Events are emitted with the fields of the catalogue
    Then every event emitted in the source carries only fields of the catalogue
