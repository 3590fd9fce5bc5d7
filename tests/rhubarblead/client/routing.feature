Feature: The routing client speaks HTTP with the nodes

  Background:
    Given two routed nodes "n1" and "n2" of which "n1" owns all keys

  Scenario Outline: A routed request meets <fault>
    Given the routed node "n1" does "<fault>" <times> times
    When a <kind> routed request is sent
    Then the routed request is <outcome>
    And upstreams of routed nodes ran it <runs> times

    Examples: faults
      | fault         | times | kind         | outcome                        | runs |
      | serve         | 0     | unrepeatable | answered by n1 after 1 tries   | 1    |
      | not-owner     | 1     | unrepeatable | answered by n2 after 2 tries   | 1    |
      | no-owner      | 2     | unrepeatable | answered by n1 after 3 tries   | 1    |
      | hang up       | 1     | unrepeatable | may-have-run after 1 tries     | 0    |
      | hang up       | 1     | repeatable   | answered by n2 after 2 tries   | 1    |
      | run, hang up  | 1     | unrepeatable | may-have-run after 1 tries     | 1    |
      | cut the body  | 1     | unrepeatable | may-have-run after 1 tries     | 1    |
      | cut the body  | 1     | repeatable   | answered by n2 after 2 tries   | 2    |
      | no length     | 1     | unrepeatable | may-have-run after 1 tries     | 1    |
      | stay silent   | 1     | unrepeatable | may-have-run after 1 tries     | 0    |
      | stay silent   | 1     | repeatable   | answered by n2 after 2 tries   | 1    |
      | poison        | 1     | repeatable   | not-run after 1 tries          | 0    |

  Scenario: A routed node that has gone is left out
    Given the routed node "n1" has gone
    When a unrepeatable routed request is sent
    Then the routed request is answered by n2 after 2 tries

  Scenario: A connection that the other end closed is not used again
    When a unrepeatable routed request is sent
    And the routed node "n1" closes its idle connections
    And a unrepeatable routed request is sent
    Then the routed request is answered by n1 after 1 tries

  Scenario: Every try of an unrepeatable request has the same idempotency key
    Given the routed node "n1" does "no-owner" 2 times
    When a unrepeatable routed request is sent
    Then the routed nodes saw 1 idempotency key

  Scenario: Tries of the routing client stay within a budget
    Given the routed node "n1" does "no-owner" 100 times
    When 40 unrepeatable routed requests are sent
    Then the routed nodes saw 53 tries

  Scenario Outline: The embedding example tells what became of its request
    Given the routed node "n1" does "<fault>" 1 times
    When the embedding example sends a routed request
    Then the embedding example prints "<text>" and ends with <code>

    Examples: faults
      | fault   | text                              | code |
      | serve   | 200 from n1                       | 0    |
      | hang up | may-have-run: Remote end closed   | 1    |
