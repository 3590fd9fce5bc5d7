Feature: The platform's formats are decoded, and malformed input is refused

  Scenario: Settings are decoded to a deployment
    When the settings are decoded
    Then the deployment's upstream is "10.1.0.38:8145"
    And the deployment's callers is "10.1.0.38:8147"
    And the deployment's heartbeats is "10.1.0.38:8144"
    And the deployment's readiness is "10.1.0.38:8141"
    And the deployment's store is "10.200.1.7:8142"
    And the deployment's peers_port is "7380"
    And the deployment's failure_domain is "ipoh"
    And the bound hold_max_ms is 9000
    And the bound grace_ms is 6000
    And the bound retry_window_ms is 10000

  Scenario Outline: Settings with a fault are refused, and the error names the fault
    When the settings are decoded with "<field>" as <value>
    Then the settings are refused with "<words>"

    Examples:
      | field             | value          | words           |
      | application       | "nowhere"      | nowhere         |
      | application       | 7              | application     |
      | zone              | null           | zone            |
      | platform          | {}             | address         |
      | internalPortRange | [7380]         | internalPort    |
      | internalPortRange | [99999, 99999] | internalPort    |
      | internalPortRange | [0, 0]         | internalPort    |
      | heartbeatIntervalMs | 0            | heartbeat       |
      | bounds            | ["graceS=x"]   | x               |
      | bounds            | ["graceS=inf"] | graceS          |
      | bounds            | ["graceS=nan"] | graceS          |
      | bounds            | ["retryBudgetRatio=1e400"] | retryBudgetRatio |
      | limits            | {"linkMbps": -1} | linkMbps      |
      | limits            | {"linkMbps": "x"} | linkMbps     |

  Scenario Outline: The rate of the link is optional
    When the settings are decoded with the limits <limits>
    Then the link's rate is <rate> bytes per ms

    Examples:
      | limits             | rate    |
      | {"linkMbps": 10.0} | 1250    |
      | {"linkMbps": 9}    | 1125    |
      | {"linkMbps": 0}    | 125000  |
      | {"linkMbps": null} | 125000  |
      | {}                 | 125000  |

  Scenario: All faults of the settings are reported together
    When the settings are decoded with these fields changed
      | field             | value          |
      | application       | "nowhere"      |
      | zone              | null           |
      | bounds            | ["graceS=x"]   |
      | platform          | {}             |
    Then the settings are refused with "nowhere"
    And the settings are refused with "zone"
    And the settings are refused with "graceS"
    And the settings are refused with "address"

  Scenario Outline: A response to a probe tells how long the server stays cold
    When a response to a probe has the fields "<fields>"
    Then it names server "<server>", which stays cold for <cold> ms

    Examples: a malformed time proves nothing, and so names no server
      | fields                                               | server | cold |
      | x-rhubarblead-instance-id=i-1;x-rhubarblead-cold-ms=900 | i-1 | 900  |
      | x-rhubarblead-instance-id=i-1;x-rhubarblead-cold-ms=0   | i-1 | 0    |
      | x-rhubarblead-instance-id=i-1                           | i-1 | 0    |
      | x-rhubarblead-instance-id=i-1;x-rhubarblead-cold-ms=-5  |     | 0    |
      | x-rhubarblead-instance-id=i-1;x-rhubarblead-cold-ms=x   |     | 0    |
      | x-rhubarblead-cold-ms=900                               |     | 900  |

  Scenario: A configuration is decoded from columns
    When the configuration is decoded
    Then its version is 12
    And "GET /a/x" at "One.example" goes to route "ra"
    And "GET /a/b/x" at "one.example" goes to route "rab"
    And "GET /a" at "one.example" goes to no route
    And "GET /a/x" at "two.example" goes to no route
    And route "rab" has shares "s1:90 s2:10"
    And route "ra" is once
    And service "s1" is keyed
    And service "s2" is not keyed

  Scenario: Versions that are decoded one after another are as if decoded alone
    When 300 versions of 40 routes are decoded, each changed at random from the last
    Then each is as if it had been decoded alone, or refused as it would be

  Scenario: Of several versions only the newest valid one is applied
    When changes with versions 3, 4, 5 and an invalid one arrive
    Then version 5 is in force, and it was applied once

  Scenario Outline: An invalid configuration is refused
    When the configuration is decoded with <fault>
    Then the configuration is refused

    Examples:
      | fault                            |
      | truncated content                |
      | an unknown service               |
      | a prefix without a final slash   |
      | no host                          |
      | an unknown type                  |
      | a short row                      |
      | a version that is not a number   |

  Scenario: A heartbeat is decoded with the ranges that the server holds
    When the heartbeat is decoded
    Then it is of server "i-7f" with 9 slots and sequence 4
    And it holds 0-4095 with fence 7
    And it has freed 4096-8191 with token "5c0e"

  # OWNER: a heartbeat of another writer, without an address, was taken for that
  # of a new server process, and the keys of the real one were given away.
  Scenario Outline: A heartbeat with a missing or invalid field is refused
    When the heartbeat is decoded with "<field>" as <value>
    Then the heartbeat is refused

    Examples:
      | field                  | value                 |
      | address                | missing               |
      | address                | 8080                  |
      | address                | "nowhere"             |
      | born                   | missing               |
      | born                   | "1700000000000"       |
      | born                   | 1700000000000.5       |
      | born                   | true                  |
      | born                   | 0                     |
      | information            | missing               |
      | information.service    | missing               |
      | information.service    | 7                     |
      | information.version    | missing               |
      | information.version    | 2                     |
      | information.zone       | missing               |
      | information.zone       | null                  |
      | information.slots      | missing               |
      | information.slots      | "nine"                |
      | information.slots      | 0                     |
      | status                 | missing               |
      | status.state           | missing               |
      | status.state           | "starting"            |
      | status.sequence        | missing               |
      | status.sequence        | "4"                   |
      | status.coldRemainingMs | missing               |
      | status.coldRemainingMs | "0"                   |
      | status.coldRemainingMs | -1                    |
      | holds                  | missing               |
      | holds                  | {}                    |
      | holds                  | [[0, 65536, 7]]       |
      | holds                  | [[9, 8, 7]]           |
      | freed                  | missing               |
      | freed                  | [[0, 1, 2]]           |

  Scenario: A heartbeat of a server that holds no keys has neither list
    When the heartbeat is decoded without ranges
    Then the heartbeat is accepted

  Scenario Outline: A malformed heartbeat is refused
    When the heartbeat is decoded with <fault>
    Then the heartbeat is refused

    Examples:
      | fault                |
      | no server            |
      | no service           |
      | an unknown state     |
      | text as slots        |
      | an incomplete range  |
      | truncated content    |

  Scenario: The answer with a full list of grants fits the platform's limit
    Then the answer with 150 grants, 20 of them new, has at most 4096 bytes

  Scenario Outline: The store's answers distinguish writes not done from writes in doubt
    Then a write answered with <status> and '<body>' is <outcome>

    Examples:
      | status | body                                | outcome  |
      | 200    | {"revisionNumber":7,"nowMs":5}      | Applied  |
      | 412    | {"rows":[]}                         | Conflict |
      | 503    |                                     | NotDone  |
      | 429    |                                     | NotDone  |
      | 500    |                                     | InDoubt  |
      | 200    | {"revisionNumber"                   | InDoubt  |

  Scenario Outline: The header fields of a request are decoded or refused
    When a request has the fields "<fields>"
    Then <result>

    Examples:
      | fields                                                                                  | result                                   |
      | x-rhubarblead-request-id: a; host: H.example:80; x-rhubarblead-deadline-ms: 1500        | it is a at H.example with 1500 ms, no key |
      | x-rhubarblead-request-id: a; host: h; x-rhubarblead-shard-key: 65535                    | it is a at h with 30000 ms, key 65535    |
      | x-rhubarblead-request-id: a; host: h; x-rhubarblead-shard-key: 65536                    | the request is refused                   |
      | x-rhubarblead-request-id: a; host: h; x-rhubarblead-deadline-ms: soon                   | the request is refused                   |
      | host: h                                                                                 | the request is refused                   |

  Scenario: Hop-by-hop fields and fields that the system sets are not forwarded
    When the fields "a: 1; connection: close, b; b: 2; te: x; transfer-encoding: chunked; x-rhubarblead-caller-service: forged; x-rhubarblead-expected-instance: i-1" are forwarded for service "own"
    Then the forwarded fields are "a: 1; x-rhubarblead-caller-service: own"
