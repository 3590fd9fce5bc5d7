Feature: Metrics are aggregated and sent with the statsd protocol

  Scenario: A flush sends the aggregated metrics
    Given metrics sent to a local statsd server
    When metrics count REQUESTS_ANSWERED 3 times
    And metrics record 12.5 ms for REQUEST
    And metrics set the gauge SHARDS_OWNED to 40
    And the metrics are flushed
    Then the statsd server received
      | line                                 |
      | test.requests.answered:3\|c          |
      | test.requests.duration:12.500000\|ms |
      | test.assignment.shards_owned:40\|g   |

  Scenario: Metrics drop timings when a flush is overdue
    Given metrics sent to a local statsd server
    When metrics record 1005 durations for REQUEST
    And the metrics are flushed
    Then the statsd server received a count of 5 for "test.metrics.timings_dropped"

  Scenario: Metrics without a server do nothing
    Given metrics without a server
    When metrics count REQUESTS_ANSWERED 3 times
    And the metrics are flushed
    Then no metrics are kept

  Scenario: Each metric has a description
    Then every metric has a description and a unique name

  Scenario Outline: Events update the metrics
    Given metrics sent to a local statsd server
    When the metrics are updated by the event <event> with <fields>
    And the metrics are flushed
    Then the statsd server received
      | line   |
      | <line> |

    Examples: events
      | event           | fields              | line                                |
      | REQUEST_REFUSED | {"request_id": "r"} | test.requests.refused:1\|c          |
      | SHARDS_GAINED   | {"shard_count": 12} | test.assignment.shards_gained:12\|c |
      | LEASE_LAPSED    | {}                  | test.lease.lapsed:1\|c              |

  Scenario: The event of an answered request updates a counter and a timer
    Given metrics sent to a local statsd server
    When the metrics are updated by the event REQUEST_ANSWERED with {"duration_ms": 7}
    And the metrics are flushed
    Then the statsd server received
      | line                                |
      | test.requests.answered:1\|c         |
      | test.requests.duration:7.000000\|ms |
