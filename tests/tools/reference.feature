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

  Scenario: Operators find every refusal and its status in their guide
    Then the operators' guide lists every refusal with its status

  Scenario: The page of promises names proofs that exist
    Then every proof that the page of promises names exists
