Feature: Reference pages match the source

  Scenario Outline: The reference page <page> matches the source
    Then the reference page "<page>" is up to date

    Examples: pages
      | page        |
      | EVENTS.md   |
      | SETTINGS.md |
      | METRICS.md  |

  Scenario: Events are emitted with the fields of the catalogue
    Then every event emitted in the source has only fields of the catalogue

  Scenario: The operators' guide lists every refusal with its status
    Then the operators' guide lists every refusal with its status

  Scenario: The guarantees page names tests that exist
    Then every test that the guarantees page names exists
