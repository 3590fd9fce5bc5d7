Feature: The upstream client returns complete responses and exact verdicts

  Scenario Outline: Each fault at the upstream leads to the exact verdict
    Given a stand-in upstream
    When the client sends a request with <kind>, fault "<fault>" and headers "<headers>"
    Then the client reports "<outcome>" and verdict "<verdict>"
    And the client suspects a crash: <crash>
    And the stand-in committed the request <runs> times
    And the next response of the stand-in is complete

    Examples: network and server faults
      | kind         | fault             | headers | outcome         | verdict      | crash | runs |
      | repeatable   |                   |         | answered        | ran          | no    | 1    |
      | unrepeatable |                   |         | answered        | ran          | no    | 1    |
      | repeatable   | surplus           |         | answered        | ran          | no    | 1    |
      | repeatable   | truncate          |         | upstream-failed | may-have-run | yes   | 1    |
      | unrepeatable | truncate          |         | upstream-failed | may-have-run | yes   | 1    |
      | unrepeatable | swap-id           |         | answer-broken   | may-have-run | no    | 1    |
      | repeatable   | swap-id           |         | answer-broken   | may-have-run | no    | 1    |
      | unrepeatable | late              |         | deadline        | may-have-run | no    | 1    |
      | unrepeatable | hang              |         | deadline        | may-have-run | no    | 0    |
      | unrepeatable | reset-before-read |         | upstream-failed | may-have-run | yes   | 0    |
      | unrepeatable | reset-after-run   |         | upstream-failed | may-have-run | yes   | 1    |
      | unrepeatable | crash             |         | upstream-failed | may-have-run | yes   | 0    |

    Examples: refusals by the upstream
      | kind         | fault | headers                                  | outcome  | verdict | crash | runs |
      | unrepeatable |       | Rhubarb-Shard:7 Rhubarb-Fence:1          | fenced   | not-run | no    | 0    |
      | repeatable   |       | Rhubarb-Shard:7 Rhubarb-Fence:1          | fenced   | not-run | no    | 0    |
      | unrepeatable |       | Rhubarb-Shard:7 Rhubarb-Expires-Ms:1     | fenced   | not-run | no    | 0    |
      | unrepeatable |       | Rhubarb-Shard:7 Rhubarb-Fence:9          | answered | ran     | no    | 1    |

  Scenario Outline: Malformed framing is never reported as a success
    Given an upstream that answers with "<bytes>"
    When the client sends a request to it
    Then the client reports "<outcome>" and verdict "may-have-run"

    Examples: framing
      | bytes                                                                     | outcome          |
      | HTTP/1.1 200 OK~ID~~body                                                  | answer-broken    |
      | HTTP/1.1 200 OK~ID~Content-Length: 4~Content-Length: 4~~body              | answer-broken    |
      | HTTP/1.1 200 OK~ID~Content-Length: +4~~body                               | answer-broken    |
      | HTTP/1.1 200 OK~ID~Content-Length: 4~Transfer-Encoding: chunked~~body     | answer-broken    |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: gzip, chunked~~0~~                  | answer-broken    |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: chunked~~4~bodyX~0~~                | answer-broken    |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: chunked~~-4~body~0~~                | answer-broken    |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: chunked~~4~body~                    | upstream-failed  |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: chunked~~4~body~0~                  | upstream-failed  |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: chunked~~fffff~                     | answer-too-large |
      | HTTP/1.1 200 OK~ID~Content-Length: 999999~~body                           | answer-too-large |
      | HTTP/1.1 200 OK~ID~Content-Length: 5~~body                                | upstream-failed  |
      | HTTP/1.1 200 OK~ID~ folded~Content-Length: 4~~body                        | answer-broken    |
      | HTTP/1.1 200 OK~ID~Content-Length : 4~~body                               | answer-broken    |
      | HTTP/2 200 OK~ID~Content-Length: 4~~body                                  | answer-broken    |
      | HTTP/1.1 200 OK~ID~                                                       | upstream-failed  |
      | HTTP/1.1 200 OK~Content-Length: 4~~body                                   | answer-broken    |
      | HTTP/1.1 101 Switching~ID~~                                               | answer-broken    |
      | HTTP/1.1 503 Busy~Content-Length: 0~Rhubarb-Refused: shed~~               | answer-broken    |
      | HTTP/1.1 503 Busy~ID~Content-Length: 0~Rhubarb-Refused: whim~~            | upstream-failed  |

  Scenario Outline: Valid framing is read completely
    Given an upstream that answers with "<bytes>"
    When the client sends a request to it
    Then the client has the response "body"

    Examples: framing
      | bytes                                                                                    |
      | HTTP/1.1 200 OK~ID~Content-Length: 4~~body                                               |
      | HTTP/1.1 200~ID~Content-Length: 4~~body                                                  |
      | HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~ID~Content-Length: 4~~body                        |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: chunked~~2;x=y~bo~2~dy~0~Digest: 1~~               |
      | HTTP/1.0 200 OK~ID~Content-Length: 4~~body                                               |

  Scenario: A response that arrives byte by byte is aborted at the deadline
    Given an upstream that sends "HTTP/1.1 200 OK~ID~Content-Length: 90~~" one byte at a time
    When the client sends a request to it
    Then the client reports "deadline" and verdict "may-have-run"

  Scenario: A request that the upstream does not read is aborted at the deadline
    Given an upstream that reads nothing
    When the client sends a request with a body of 9000000 bytes to it
    Then the client reports "deadline" and verdict "may-have-run"

  Scenario: A repeatable request is sent again when a pooled connection fails
    Given an upstream that closes its first connection on the second request
    When the client sends 2 repeatable requests to it
    Then the client has the response "body"
    And the upstream saw 2 connections

  Scenario: Dead pooled connections cost a repeatable request one retry
    Given a stand-in upstream
    And all pooled connections of the client are dead
    When the client sends a request with repeatable, fault "" and headers ""
    Then the client reports "answered" and verdict "ran"
    And the stand-in committed the request 1 times

  Scenario: An unrepeatable request does not use dead pooled connections
    Given a stand-in upstream
    And all pooled connections of the client are dead
    When the client sends a request with unrepeatable, fault "" and headers ""
    Then the client reports "answered" and verdict "ran"
    And the stand-in committed the request 1 times

  Scenario: A grant that expired while the upstream was frozen is refused
    Given a stand-in upstream
    When a request waits in the stand-in's socket until its grant has expired
    Then the client reports "fenced" and verdict "not-run"
    And the stand-in committed the request 0 times

  Scenario: A cancelled run has no effect
    Given a stand-in upstream
    When a running request is cancelled
    Then the client reports "cancelled" and verdict "not-run"
    And the stand-in committed the request 0 times

  Scenario: Requests beyond the slots are shed
    Given a stand-in upstream
    When a request is sent to a stand-in whose slots are in use
    Then the client reports "shed" and verdict "not-run"
    And the client gets a retry time of 1000 ms

  Scenario: A draining upstream completes running requests and refuses new ones
    Given a stand-in upstream
    When a request is sent to a draining stand-in with one run in progress
    Then the client reports "draining" and verdict "not-run"
    And the run in progress was answered
    And the stand-in has exited

  Scenario: A request beyond the connection limit is refused without being sent
    Given a stand-in upstream
    When a request is sent while the client's only connection is in use
    Then the client reports "overloaded" and verdict "not-run"

  Scenario: Unrepeatable requests do not exhaust the upstream's connections
    Given a stand-in upstream
    When 300 unrepeatable requests are sent in sequence
    Then the client has a response to each request

  Scenario: A refused connection is reported as not run
    Given no upstream
    When the client sends a request to it
    Then the client reports "upstream-failed" and verdict "not-run"

  Scenario Outline: A request that would break the framing is not sent
    Given a stand-in upstream
    When the client sends <method> "<target>" with the header value "<value>"
    Then the client reports "malformed" and verdict "not-run"

    Examples: malformed
      | method | target | value     |
      | GET    | /a b   | x         |
      | GET    | /a~b   | x         |
      | GE T   | /a     | x         |
      | GET    | /a     | x~Evil: 1 |
      | GET    | /a     | x✓        |
