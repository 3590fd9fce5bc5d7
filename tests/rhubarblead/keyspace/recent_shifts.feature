Feature: Keys handed over lately count before load reports show them

  Scenario Outline: The load of a server that has got keys
    Given 30 requests per second were handed over to b at 10000 ms
    When b of 60 requests per second reports a load of 0.2 at <reported> ms
    Then its load at <now> ms counts as <load>

    Examples: a report shows keys that the server has had for 300 ms
      | reported | now   | load |
      | 9500     | 10500 | 0.7  |
      | 10200    | 10500 | 0.7  |
      | 10400    | 10500 | 0.2  |
      | 9500     | 13600 | 0.2  |

  Scenario: Other servers are not affected
    Given 30 requests per second were handed over to c at 10000 ms
    When b of 60 requests per second reports a load of 0.2 at 9500 ms
    Then its load at 10500 ms counts as 0.2
