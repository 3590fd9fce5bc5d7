Feature: Nodes exchange their state

  Scenario: A state that arrives before the link is up is kept
    Given a node that receives states of other nodes
    When the state of node n2 arrives while the link to it is down
    Then node n2 is known
    And a link to n2 is requested

  Scenario: The state of a lost node counts once the link to it is up again
    Given a node that receives states of other nodes
    When the state of node n2 arrives while the link to it is down
    And the link to n2 is lost, and its state arrives again
    Then node n2 is not known
    When the link to n2 is up again
    Then node n2 is known

  # 62 nodes asked each other for each version, over links of 10 Mbit/s.
  Scenario Outline: A node asks others only for what it doesn't get by itself
    Given a node that receives states of other nodes
    And its store <works>, so that it is <lag> ms behind the configuration
    When 61 nodes report a new version each 330 ms for 6 s
    Then it has asked for a configuration <least> to <most> times

    Examples: while the store answers, a version comes from there within the second
      | works       | lag   | least | most |
      | answers     | 600   | 0     | 0    |
      | is away     | 60000 | 3     | 10   |
      | answers     | 60000 | 3     | 7    |

  Scenario: A node that has missed a change asks once for the assignment
    Given a node that receives states of other nodes
    When 20 changes of an assignment arrive within 100 ms that don't fit its own
    Then it has asked for an assignment 1 times

  Scenario: A load is applied only to the process that sent it
    Given a node that receives states of other nodes
    When the state of node n2 arrives while the link to it is down
    And a load of 700 arrives from its process
    Then the load of n2 is 700
    When a load of 100 arrives from an earlier process of n2
    Then the load of n2 is 700
