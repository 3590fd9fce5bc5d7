Feature: A node measures itself

  Scenario: Every gauge that is reported is set
    Given the gauges of a node that is no member
    When the gauges are measured
    Then each gauge that the node reports is set, and the memory is above 0
