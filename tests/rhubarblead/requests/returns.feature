Feature: Callers that come back after a refusal are told from new ones

  Scenario Outline: A request is a return until its caller's deadline, once
    Given request a was refused at 0 ms with 1000 ms left
    When request <name> arrives at <time> ms
    Then it is <kind>

    Examples:
      | name | time | kind       |
      | a    | 400  | a return   |
      | a    | 1000 | a new one  |
      | b    | 400  | a new one  |

  Scenario: A refusal stands for one return
    Given request a was refused at 0 ms with 1000 ms left
    When request a arrives at 400 ms
    And request a arrives at 500 ms
    Then it is a new one

  Scenario: Few of many refused requests are remembered
    Given request a was refused at 0 ms with 1000 ms left
    When 4096 other requests are refused
    And request a arrives at 400 ms
    Then it is a new one
