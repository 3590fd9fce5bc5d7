Feature: Nodes know each other soon after they have met

  Scenario: A state that comes before the own link is up is not lost
    Given a node that hears of others
    When the state of node n2 comes while the link to it is down
    Then node n2 is known
    And a link to n2 is wanted

  Scenario: A load is taken for the process that it is of
    Given a node that hears of others
    When the state of node n2 comes while the link to it is down
    And a load of 700 comes from its process
    Then the load of n2 is 700
    When a load of 100 comes from an earlier process of it
    Then the load of n2 is 700
