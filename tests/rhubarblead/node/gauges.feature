Feature: Gauges of a node's state

  Scenario: Every reported gauge is set
    Given the gauges of a node that is not a member
    When the gauges are measured
    Then each gauge that the node reports is set, and the memory is above 0
