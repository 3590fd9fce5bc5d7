Feature: The embedding examples run and are documented

  Scenario Outline: The embedding example <example> prints its result
    When the embedding example "<example>" is run
    Then the embedding example's last line is "<line>"

    Examples: examples
      | example     | line                                       |
      | hold_lease  | 1700 ms: the lease ended                   |
      | plan_shards | 22 moves: {'server-2': 32, 'server-3': 32} |
      | run_once    | refused, not-run: idempotency-key-reused   |

  Scenario Outline: The embedding page refers to the example <example>
    Then the embedding page refers to the example "<example>"

    Examples: examples
      | example        |
      | route_requests |
      | hold_lease     |
      | plan_shards    |
      | run_once       |
