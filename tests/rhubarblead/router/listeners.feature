Feature: The operator's limits bind clients, not the server and the platform

  # Fault, Acks: a maxBodyBytes of 128 for clients had the heartbeats and the
  # deregistrations of all servers answered with 413, so that nothing was served.
  Scenario Outline: A limit for clients doesn't bind calls of the server and the platform
    Given a router's listeners, with a <limit> of <value> for clients
    When a request with a head of 1000 bytes and a body of 2000 bytes is sent to each
    Then "callers" answers <status>
    And "heartbeats readiness metrics" answer 200

    Examples: the heartbeat of a server that holds many keys has kilobytes
      | limit            | value | status |
      | max_body_bytes   | 0     | 413    |
      | max_body_bytes   | 8     | 413    |
      | max_body_bytes   | 1999  | 413    |
      | max_body_bytes   | 2000  | 200    |
      | max_header_bytes | 0     | 431    |
      | max_header_bytes | 512   | 431    |

  Scenario Outline: Timeouts for clients don't close connections of the server and the platform
    Given a router's listeners, with a <limit> of 1 for clients
    When a request is sent to each, <how>
    Then "callers" answers <status>
    And "heartbeats readiness metrics" answer 200

    Examples: 0 is a connection that was closed without an answer
      | limit             | how                                       | status |
      | header_timeout_ms | with 1.2 s between the lines of its head  | 408    |
      | idle_timeout_ms   | 1.2 s after connecting                    | 0      |

  Scenario: Calls of the server and the platform have limits of their own
    Given a router's listeners, with a max_body_bytes of 8000000 for clients
    When a request with a head of 1000 bytes and a body of 5000000 bytes is sent to each
    Then "callers" answers 200
    And "heartbeats readiness metrics" answer 413

  # DRAIN: a heartbeat for an earlier process must not reach the next one.
  Scenario Outline: Processes of a node take turns with the address that their replies name
    Given an instance with <count> free ports
    When its router starts every <interval> ms
    Then <result>

    Examples: heartbeats arrive up to ten seconds late
      | count | interval | result                             |
      | 15    | 1000     | no port is used again within 10 s  |
      | 15    | 1900     | no port is used again within 10 s  |
      | 15    | 7000     | no port is used again within 10 s  |
      | 11    | 1000     | no port is used again within 10 s  |
      | 10    | 1000     | no port is chosen                  |
      | 0     | 1000     | no port is chosen                  |
