Feature: Metrics are rendered as text, with units in their names

  Scenario: Answers, latencies, events and gauges are rendered
    Given the metrics of a node that runs 3 requests
    When route "r" was answered 200 after 10 ms, 200 after 30 ms and 503 after 2 ms
    And a request on route "r" waited 40 ms and was 7 ms on its way
    And an event was emitted twice
    Then the rendered metrics contain these lines
      | line                                                  |
      | rhubarblead_answers_total{route="r",status="200"} 2    |
      | rhubarblead_answers_total{route="r",status="503"} 1    |
      | rhubarblead_latency_ms{route="r",quantile="0.5"} 10    |
      | rhubarblead_latency_ms{route="r",quantile="0.99"} 30   |
      | rhubarblead_latency_ms_count{route="r"} 3              |
      | rhubarblead_queued_ms{route="r",quantile="0.5"} 40     |
      | rhubarblead_transit_ms{route="r",quantile="0.5"} 7     |
      | rhubarblead_events_total{event="LINK_UP"} 2            |
      | rhubarblead_running_requests 3                         |

  Scenario: Every metric has a description for the reference page
    Then every gauge and every series has a description
