Feature: When a grant to the upstream ends

  Scenario Outline: The end of a grant given at 1000
    Given a shared view with grants of 600 ms and a lease of "m" until <lease> at 1000
    When the shared view handles "<events>"
    Then the grant of "m" ends at <grant>, and is extended: <extended>

    Examples: events with their times in ms
      | lease | events                    | grant | extended |
      | 5000  |                           | 1600  | True     |
      | 1300  |                           | 1300  | True     |
      | 0     |                           | 0     | False    |
      | 5000  | cap@900                   | 1500  | True     |
      | 5000  | cap@500 cap@900           | 1100  | True     |
      | 5000  | cap@500 uncap@700         | 1600  | True     |
      | 5000  | cap@500 uncap@700 cap@900 | 1500  | True     |
      | 5000  | cap@300 stop@900          | 900   | False    |
      | 5000  | stop@900                  | 1600  | False    |
