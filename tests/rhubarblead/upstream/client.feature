Feature: The upstream client gives whole answers and exact verdicts

  Scenario Outline: A fault at the upstream ends in an exact verdict
    Given a stand-in upstream
    When the client sends a request with <kind>, fault "<fault>" and headers "<headers>"
    Then the client reports "<outcome>" and verdict "<verdict>"
    And the client suspects a crash: <crash>
    And the stand-in committed the request <runs> times
    And the next answer of the stand-in is whole

    Examples: faults on the wire
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

  Scenario Outline: Broken framing is never a success
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

  Scenario Outline: Sound framing is read to its end
    Given an upstream that answers with "<bytes>"
    When the client sends a request to it
    Then the client has the answer "body"

    Examples: framing
      | bytes                                                                                    |
      | HTTP/1.1 200 OK~ID~Content-Length: 4~~body                                               |
      | HTTP/1.1 200~ID~Content-Length: 4~~body                                                  |
      | HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~ID~Content-Length: 4~~body                        |
      | HTTP/1.1 200 OK~ID~Transfer-Encoding: chunked~~2;x=y~bo~2~dy~0~Digest: 1~~               |
      | HTTP/1.0 200 OK~ID~Content-Length: 4~~body                                               |

  Scenario: An answer that drips in doesn't outlast the request's time
    Given an upstream that drips "HTTP/1.1 200 OK~ID~Content-Length: 90~~" one byte at a time
    When the client sends a request to it
    Then the client reports "deadline" and verdict "may-have-run"

  Scenario: A request that isn't read doesn't outlast its time
    Given an upstream that reads nothing
    When the client sends a request with a body of 9000000 bytes to it
    Then the client reports "deadline" and verdict "may-have-run"

  Scenario: A repeatable request is sent once more when a kept connection fails
    Given an upstream that ends its first connection at the second request
    When the client sends 2 repeatable requests to it
    Then the client has the answer "body"
    And the upstream saw 2 connections

  Scenario: Connections that went silent cost a repeatable request one retry
    Given a stand-in upstream
    And the client kept connections that went silent
    When the client sends a request with repeatable, fault "" and headers ""
    Then the client reports "answered" and verdict "ran"
    And the stand-in committed the request 1 times

  Scenario: An unrepeatable request doesn't meet the silent connections
    Given a stand-in upstream
    And the client kept connections that went silent
    When the client sends a request with unrepeatable, fault "" and headers ""
    Then the client reports "answered" and verdict "ran"
    And the stand-in committed the request 1 times

  Scenario: A grant that expired while the upstream was frozen is refused
    Given a stand-in upstream
    When a request waits in the stand-in's socket until its grant has expired
    Then the client reports "fenced" and verdict "not-run"
    And the stand-in committed the request 0 times

  Scenario: A cancelled run takes no effect
    Given a stand-in upstream
    When a running request is cancelled
    Then the client reports "cancelled" and verdict "not-run"
    And the stand-in committed the request 0 times

  Scenario: Work beyond the slots is shed
    Given a stand-in upstream
    When a request meets a stand-in whose slots are taken
    Then the client reports "shed" and verdict "not-run"
    And the client is told to come back after 1000 ms

  Scenario: A draining upstream finishes what runs and takes no new work
    Given a stand-in upstream
    When a request meets a stand-in that drains with one run in progress
    Then the client reports "draining" and verdict "not-run"
    And the run in progress was answered
    And the stand-in has exited

  Scenario: A request beyond the connections is refused unsent
    Given a stand-in upstream
    When a request is sent while the client's only connection is in use
    Then the client reports "overloaded" and verdict "not-run"

  Scenario: Unrepeatable requests don't use up the upstream's connections
    Given a stand-in upstream
    When 300 unrepeatable requests are sent one after the other
    Then the client has had an answer to each of them

  Scenario: Nothing ran where nobody listens
    Given no upstream
    When the client sends a request to it
    Then the client reports "upstream-failed" and verdict "not-run"

  Scenario Outline: A request that would break the framing isn't sent
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
