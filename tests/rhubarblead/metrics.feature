Feature: Metrics are gathered and sent by statsd

  Scenario: Metrics of one second go out in few datagrams
    Given metrics sent to a local statsd server
    When metrics count REQUESTS_ANSWERED 3 times
    And metrics time REQUEST as 12.5 ms
    And metrics measure SHARDS_OWNED as 40
    And the metrics are flushed
    Then the statsd server received
      | line                                |
      | test.requests.answered:3\|c         |
      | test.requests.duration:12.500000\|ms |
      | test.assignment.shards_owned:40\|g  |

  Scenario: An overdue flush of metrics bounds what is kept
    Given metrics sent to a local statsd server
    When metrics time REQUEST 1005 times
    And the metrics are flushed
    Then the statsd server received a count of 5 for "test.metrics.timings_dropped"

  Scenario: Metrics without a server do nothing
    Given metrics without a server
    When metrics count REQUESTS_ANSWERED 3 times
    And the metrics are flushed
    Then no metrics are kept

  Scenario: Each metric has a meaning
    Then every metric is explained once
