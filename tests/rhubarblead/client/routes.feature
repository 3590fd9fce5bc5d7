Feature: The routing client learns which nodes own keys

  Background:
    Given a routing client's map of revision 5 with 4 shards over "n1 n2"

  Scenario Outline: The routing client's map is replaced by <newer>
    When the routing client learns that "n9" owns key "k"
    And the routing client gets a map of revision <revision> with owners over "n3"
    Then the routing client sends key "k" to "<node>"

    Examples: maps
      | newer        | revision | node |
      | an older map | 4        | n9   |
      | the same map | 5        | n9   |
      | a newer map  | 6        | n3   |

  Scenario: The routing client temporarily avoids an unresponsive owner
    When the routing client learns that "n9" owns key "k"
    And the routing client avoids "n9" until 100 ms
    Then at 99 ms the routing client sends key "k" to one of "n1 n2"
    And at 100 ms the routing client sends key "k" to one of "n9"

  Scenario: A split key is routed to the owner of its dedicated shard
    When the routing client's map splits key "hot" to "n2"
    Then the routing client sends key "hot" to "n2"

  Scenario: A key without an owner is routed to any node
    When the routing client's map has no owners
    Then at 0 ms the routing client sends key "k" to one of "n1 n2"
