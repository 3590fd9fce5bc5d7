Feature: Every key has one owner through failures, and gets it back in time

  Scenario: Nodes that start together share out all keys
    Given a world of 6 nodes
    When 8000 ms go by in the world
    Then all keys are held
    And no key had two holders

  Scenario Outline: A failure costs a bounded time without an owner
    Given a world of 6 nodes that has settled
    When <failure> fails in the world
    And <wait> ms go by in the world
    Then all keys are held
    And no key had two holders

    Examples: waits are the bounds of each case
      | failure                    | wait  |
      | an instance                | 5200  |
      | two instances              | 6200  |
      | a server for good          | 5200  |
      | a server that comes back   | 2000  |
      | a node that comes back     | 2500  |
      | a planned restart          | 2500  |
      | a draining server          | 2500  |
      | everything at once         | 4500  |
      | a server whose node restarts | 6200 |

  Scenario: Keys stay with their owners while the store is away
    Given a world of 6 nodes that has settled
    When the store is down in the world
    And 8500 ms go by in the world
    Then all keys are held
    And no key had two holders

  Scenario: Keys stay with a node that only the store turns away
    Given a world of 6 nodes that has settled
    When node n1 is cut from the store
    And 8500 ms go by in the world
    Then all keys are held
    And n1's server holds keys
    And no key had two holders

  Scenario: A node that nobody reaches loses its keys to others
    Given a world of 6 nodes that has settled
    When node n1 is cut from the store
    And node n1 is cut from all nodes
    And 6000 ms go by in the world
    Then all keys are held
    And n1's server holds no keys
    And no key had two holders

  Scenario: A restarted node waits for what its earlier process has granted
    Given a world of 6 nodes that has settled
    When node n1 restarts while the others can't hear it
    And 600 ms go by in the world
    Then no key had two holders

  Scenario: A server that has left gets no keys, whoever plans
    Given a world of 6 nodes that has settled
    When a draining server fails in the world
    And 6000 ms go by in the world
    Then n1's server holds no keys

  Scenario: Many servers that leave together are relieved by few writes
    Given a world of 24 nodes that has settled
    When the servers of 12 nodes drain at once
    And 6000 ms go by in the world
    Then all keys are held
    And no key had two holders
    And the store refused 4 writes at the most

  Scenario: A change that was sent twice is written once
    Given a world of 6 nodes that has settled
    When node n4 sends a change of its own keys twice at once
    And 300 ms go by in the world
    Then n4 was told "Applied" and "Conflict"
    And all nodes know the same assignment, with each key once

  Scenario: A node gives nothing that isn't its own
    Given a world of 6 nodes that has settled
    When node n4 sends a change of n3's keys once
    And 300 ms go by in the world
    Then n4 was told "Conflict"
    And all nodes know the same assignment, with each key once

  Scenario: Keys are handed over though the node that writes for all is lost
    Given a world of 8 nodes that has settled
    When the servers of 4 nodes drain at once, as node n0 is lost
    And 6200 ms go by in the world
    Then all keys are held
    And no key had two holders

  Scenario Outline: Random failures never give a key to two servers
    Then <count> random stories of a world with seed <seed> keep every rule

    Examples:
      | count | seed |
      | 12    | 1    |

  Scenario Outline: Random failures amid departures never give a key to two servers
    Then <count> random stories with departures and seed <seed> keep every rule

    Examples:
      | count | seed |
      | 8     | 3    |
