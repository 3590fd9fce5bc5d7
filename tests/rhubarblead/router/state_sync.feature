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

  Scenario: A load is applied only to the process that sent it
    Given a node that receives states of other nodes
    When the state of node n2 arrives while the link to it is down
    And a load of 700 arrives from its process
    Then the load of n2 is 700
    When a load of 100 arrives from an earlier process of n2
    Then the load of n2 is 700
