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

  Scenario Outline: Events add to the metrics
    Given metrics sent to a local statsd server
    When the metrics follow the event <event> with <fields>
    And the metrics are flushed
    Then the statsd server received
      | line   |
      | <line> |

    Examples: events
      | event           | fields              | line                             |
      | REQUEST_REFUSED | {"request_id": "r"} | test.requests.refused:1\|c       |
      | SHARDS_GAINED   | {"shard_count": 12} | test.assignment.shards_gained:12\|c |
      | LEASE_LAPSED    | {}                  | test.lease.lapsed:1\|c           |

  Scenario: An answered request is counted and timed by its event
    Given metrics sent to a local statsd server
    When the metrics follow the event REQUEST_ANSWERED with {"duration_ms": 7}
    And the metrics are flushed
    Then the statsd server received
      | line                                |
      | test.requests.answered:1\|c         |
      | test.requests.duration:7.000000\|ms |
