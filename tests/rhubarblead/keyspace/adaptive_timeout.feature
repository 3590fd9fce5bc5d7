Feature: The timeout of calls to the store follows its latency

  Scenario Outline: The timeout after a series of calls
    When calls to the store end with "<calls>"
    Then the next call may take <timeout> ms

    Examples: answers by their time in ms; out is a call without an answer
      | calls                    | timeout |
      | 4                        | 700     |
      | 600                      | 1200    |
      | out                      | 1400    |
      | out out                  | 2800    |
      | out out out              | 2800    |
      | 1000 4                   | 1400    |
      | out out 4 4 4 4 4        | 700     |
