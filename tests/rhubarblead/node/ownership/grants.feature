Feature: When a grant to the upstream ends

  Scenario Outline: The end of a grant given at 1000
    Given a view board with grants of 600 ms and a lease of "m" until <lease> at 1000
    When the view board handles "<events>"
    Then the grant of "m" ends at <grant>, and is extended: <extended>

    Examples: events at their moment
      | lease | events                     | grant | extended |
      | 5000  |                            | 1600  | True     |
      | 1300  |                            | 1300  | True     |
      | 0     |                            | 0     | False    |
      | 5000  | hold@900                   | 1500  | True     |
      | 5000  | hold@500 hold@900          | 1100  | True     |
      | 5000  | hold@500 free@700          | 1600  | True     |
      | 5000  | hold@500 free@700 hold@900 | 1500  | True     |
      | 5000  | hold@300 forfeit@900       | 900   | False    |
      | 5000  | forfeit@900                | 1600  | False    |
