Feature: The measures are text with units in their names

  Scenario: Answers, latencies, events and present values are shown
    Given measures of a node that runs 3 requests
    When route "r" was answered 200 after 10 ms, 200 after 30 ms and 503 after 2 ms
    And an event was told twice
    Then the measures show these lines
      | line                                                  |
      | rhubarblead_answers_total{route="r",status="200"} 2    |
      | rhubarblead_answers_total{route="r",status="503"} 1    |
      | rhubarblead_latency_ms{route="r",quantile="0.5"} 10    |
      | rhubarblead_latency_ms{route="r",quantile="0.99"} 30   |
      | rhubarblead_latency_ms_count{route="r"} 3              |
      | rhubarblead_events_total{event="LINK_UP"} 2            |
      | rhubarblead_running_requests 3                         |

  Scenario: Every value has a meaning for the reference page
    Then every present value and every series has a meaning
