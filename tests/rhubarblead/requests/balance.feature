Feature: The balancer goes by what it observes

  Scenario Outline: One server of two gets the next request
    Given a balancer over the servers a and b
    When the balancer sees "<events>"
    Then the balancer's next choice is "<choice>"

    Examples: a:20 is an answer after 20 ms, a? a request in flight, a# shed, a! failed, a%N a report of N in 10 slots, a^ a start, +N waits N ms
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

  Scenario Outline: A report that disagrees with observation loses trust
    Given a balancer over the servers a and b
    When the balancer sees "<events>"
    Then the balancer trusts a <trust>

    Examples: reports
      | events                            | trust |
      | a:5 a%9                           | 0.5   |
      | a:5 a%9 a%9                       | 0.25  |
      | a:5 a%3                           | 1.0   |
      | a:5 a:50 a:50 a%0                 | 0.5   |
      | a:5 a:50 a:50 a%9                 | 1.0   |

  Scenario: The benchmark's balancer beats its baselines beside a slow server
    When the balancing benchmark runs beside a slow server at 0.9 of the capacity
    Then its balancer answers more in time than round-robin and random
