Feature: The routing client retries only what is safe to retry

  Scenario Outline: The routing client decides whether to retry after <result>
    When the routing client evaluates <result> of a <kind> request on attempt <attempt> with <remaining> ms remaining
    Then the routing client <decision>

    Examples: results
      | result                           | kind         | attempt | remaining | decision             |
      | a response                       | repeatable   | 1       | 900       | gives up             |
      | no response before sending       | unrepeatable | 1       | 900       | retries after 0 ms   |
      | no response after sending        | unrepeatable | 1       | 900       | gives up             |
      | no response after sending        | repeatable   | 1       | 900       | retries after 0 ms   |
      | no response after sending        | repeatable   | 3       | 900       | retries after 75 ms  |
      | no response after sending        | repeatable   | 3       | 75        | gives up             |
      | no response before sending       | repeatable   | 8       | 900       | gives up             |
      | not-owner/not-run/0              | unrepeatable | 1       | 900       | retries after 0 ms   |
      | not-owner/not-run/0              | unrepeatable | 2       | 900       | retries after 37 ms  |
      | not-owner/may-have-run/0         | unrepeatable | 1       | 900       | gives up             |
      | no-owner/not-run/200             | unrepeatable | 1       | 900       | retries after 209 ms |
      | no-owner/not-run/200             | unrepeatable | 1       | 150       | gives up             |
      | no-owner/not-run/0               | unrepeatable | 1       | 900       | gives up             |
      | upstream-failed/may-have-run/100 | unrepeatable | 1       | 900       | gives up             |
      | upstream-failed/may-have-run/100 | repeatable   | 1       | 900       | retries after 109 ms |
      | poison/not-run/0                 | repeatable   | 1       | 900       | gives up             |
      | memory-lost/may-have-run/0       | unrepeatable | 1       | 900       | gives up             |
