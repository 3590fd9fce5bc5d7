Feature: A node keeps to its part of the retries of all nodes

  Scenario Outline: Retries within a window
    Given a retry allowance of 0.2 for each request and 60 besides, in 10000 ms
    When <requests> requests come and <tries> retries are asked for, among <nodes> nodes
    Then <granted> retries are granted

    Examples: four fifths of the bound are used
      | requests | tries | nodes | granted |
      | 0        | 100   | 1     | 48      |
      | 0        | 100   | 12    | 4       |
      | 100      | 100   | 12    | 20      |
      | 100      | 10    | 12    | 10      |

  Scenario: What is older than the window no longer counts
    Given a retry allowance of 0.2 for each request and 60 besides, in 10000 ms
    When 100 requests come and 100 retries are asked for, among 12 nodes
    And 10000 ms go by
    And 0 requests come and 100 retries are asked for, among 12 nodes
    Then 4 retries are granted
