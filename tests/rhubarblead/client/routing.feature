Feature: The routing client sends requests to nodes over HTTP

  Background:
    Given two routed nodes "n1" and "n2" of which "n1" owns all keys

  Scenario Outline: A routed request is handled when a node has the fault <fault>
    Given the routed node "n1" has the fault "<fault>" for <times> requests
    When a <kind> routed request is sent
    Then the routed request is <outcome>
    And the upstreams of the routed nodes ran it <runs> times

    Examples: faults
      | fault             | times | kind         | outcome                         | runs |
      | none              | 0     | unrepeatable | answered by n1 after 1 attempts | 1    |
      | not-owner         | 1     | unrepeatable | answered by n2 after 2 attempts | 1    |
      | no-owner          | 2     | unrepeatable | answered by n1 after 3 attempts | 1    |
      | disconnect        | 1     | unrepeatable | may-have-run after 1 attempts   | 0    |
      | disconnect        | 1     | repeatable   | answered by n2 after 2 attempts | 1    |
      | run, disconnect   | 1     | unrepeatable | may-have-run after 1 attempts   | 1    |
      | truncate the body | 1     | unrepeatable | may-have-run after 1 attempts   | 1    |
      | truncate the body | 1     | repeatable   | answered by n2 after 2 attempts | 2    |
      | no length         | 1     | unrepeatable | may-have-run after 1 attempts   | 1    |
      | no response       | 1     | unrepeatable | may-have-run after 1 attempts   | 0    |
      | no response       | 1     | repeatable   | answered by n2 after 2 attempts | 1    |
      | poison            | 1     | repeatable   | not-run after 1 attempts        | 0    |

  Scenario: A stopped routed node is avoided
    Given the routed node "n1" is stopped
    When a unrepeatable routed request is sent
    Then the routed request is answered by n2 after 2 attempts

  Scenario: A connection that the peer closed is not reused
    When a unrepeatable routed request is sent
    And the routed node "n1" closes its idle connections
    And a unrepeatable routed request is sent
    Then the routed request is answered by n1 after 1 attempts

  Scenario: Every attempt of an unrepeatable request has the same idempotency key
    Given the routed node "n1" has the fault "no-owner" for 2 requests
    When a unrepeatable routed request is sent
    Then the routed nodes received 1 idempotency key

  Scenario: Retries of the routing client are limited by a budget
    Given the routed node "n1" has the fault "no-owner" for 100 requests
    When 40 unrepeatable routed requests are sent
    Then the routed nodes received 53 attempts

  Scenario Outline: The embedding example prints the outcome of its request
    Given the routed node "n1" has the fault "<fault>" for 1 requests
    When the embedding example sends a routed request
    Then the embedding example prints "<text>" and ends with <code>

    Examples: faults
      | fault      | text                            | code |
      | none       | 200 from n1                     | 0    |
      | disconnect | may-have-run: Remote end closed | 1    |
