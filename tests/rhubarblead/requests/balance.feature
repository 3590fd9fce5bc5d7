Feature: The balancer chooses servers by observed latency, shedding and failures

  Scenario Outline: Choice between two servers
    Given a balancer over the servers a and b
    When the balancer receives "<events>"
    Then the balancer's next choice is "<choice>"

    Examples: a:20 is an answer after 20 ms, a? a request in flight, a# a shed and a! a failed request, a%N a report of N requests in 10 slots, a^ a start, +N a wait of N ms
      | events                            | choice |
      | a:20 b:5                          | b      |
      | a:5 b:5 a?                        | b      |
      | a:5 b:20 a?                       | a      |
      | a:5 b:5 a#                        | b      |
      | a:5 b:5 a# b#                     |        |
      | a:5 b:5 a# b# +200                | any    |
      | a:5 b:5 a# +200 b?                | a      |
      | a:5 b:5 a! a! b?                  | a      |
      | a:5 b:5 a! a! a! b? b?            | b      |
      | a:5 b:5 a! a! a! b? +1000         | a      |
      | a:5 b:5 a! a! a! b? +1000 a!      | b      |
      | a:5 b:5 a! a! a! b! b! b!         | any    |
      | a:5 b:5 a! a! a! +1000 a? b?      | b      |
      | a:5 b:5 a%9                       | b      |
      | a:5 b:5 a%9 +2001                 | any    |
      | a:5 b:9 b:9 a%9                   | a      |
      | a:5 b:5 a^ b?                     | b      |
      | a:5 b:5 a^ +500 b? b?             | a      |
      | a:60 b:5 +60000 b? b? b?          | a      |

  Scenario Outline: Reports that contradict the observed latency reduce the trust in a server
    Given a balancer over the servers a and b
    When the balancer receives "<events>"
    Then the balancer's trust in a is <trust>

    Examples: reports
      | events                            | trust |
      | a:5 a%9                           | 0.5   |
      | a:5 a%9 a%9                       | 0.25  |
      | a:5 a%3                           | 1.0   |
      | a:5 a:50 a:50 a%0                 | 0.5   |
      | a:5 a:50 a:50 a%9                 | 1.0   |

  Scenario: The balancer outperforms round-robin and random choice with a slow server
    When the balancing benchmark runs with a slow server at 0.9 of the capacity
    Then the balancer answers more requests in time than round-robin and random
