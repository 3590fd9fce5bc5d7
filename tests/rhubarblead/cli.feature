Feature: Operator commands report the cluster's state with exit codes for scripts

  Background:
    Given the admin nodes
      | name | state   | ownership | tables | lease_ms |
      | a    | serving | 40        | 7      | 700      |
      | b    | serving | 40        | 7      | 650      |

  Scenario Outline: A command reports <fault> by its exit code
    Given the admin node "b" has <fault>
    When the command "<command>" is run
    Then the command's exit code is <code>
    And the command printed "<printed>"

    Examples: faults
      | fault            | command                         | code | printed                      |
      | no fault         | status --node NODE              | 0    | 2 nodes, 0 lagging, 0 silent |
      | older tables     | status --node NODE              | 6    | 2 nodes, 1 lagging, 0 silent |
      | older ownership  | status --node NODE              | 6    | lags                         |
      | slow catch-up    | status --node NODE              | 0    | 2 nodes, 0 lagging, 0 silent |
      | no response      | status --node NODE              | 4    | 0 lagging, 1 silent          |
      | bad response     | status --node NODE              | 4    | cannot decode response       |
      | no lease         | status --node NODE              | 0    | no lease                     |
      | no response      | lease --node NODE               | 4    | b-1 (20 ms ago)              |
      | no fault         | lease --node NODE               | 0    | b-1 (20 ms ago)              |
      | no fault         | members --node NODE             | 0    | ownership revision 40        |
      | no fault         | members --node NODE --json      | 0    | "ownership_revision":40      |
      | no fault         | owner --pool p --key 0042 --node NODE | 0 | 0042 is hashed             |
      | no fault         | owner --pool q --key k --node NODE | 2 | no pool is named 'q'          |
      | no fault         | drain --node NODE               | 0    | is draining                  |
      | no fault         | drain --node NODE --failure_domain ipoh | 0 | is draining              |
      | no fault         | drain --node NODE --failure_domain nowhere | 2 | no member is in failure domain 'nowhere' |
      | no fault         | timeline --node NODE            | 0    | NODE_STARTED                 |
      | no response      | timeline --node NODE            | 4    | gap: b:                      |
      | no fault         | timeline --node NODE --request r1 | 0  | request r1: started at an upstream 1 times |
      | no fault         | timeline --node NODE --key 0042 --pool p | 0 | owner: a from revision 12 |
      | no fault         | timeline --node NODE --key 0042 --pool q | 2 | no pool is named 'q'   |

  Scenario Outline: A usage error is reported without a traceback
    When the command "<command>" is run
    Then the command's exit code is <code>
    And the command printed "<printed>"

    Examples: mistakes
      | command                         | code | printed                          |
      | status                          | 2    | give any node as IP:PORT         |
      | status --node localhost:80      | 2    | 'localhost:80' is not IP:PORT    |
      | status --node 127.0.0.1:0       | 2    | no port between 1 and 65535      |
      | members --node 127.0.0.1:1      | 4    | Connection refused               |
      | owner --pool p                  | 2    | required argument: key           |
      | drain --node NODE --surplus 1   | 2    | Could not consume arg: --surplus |
      | nonsense                        | 2    | Could not consume arg: nonsense  |
      | timeline --since-ms soon        | 2    | since_ms must be a whole number  |
      | timeline missing.jsonl          | 2    | No such file or directory        |
      | settings check missing.json     | 2    | a readable file                  |
      | node --settings missing.json    | 2    | a readable file                  |

  Scenario: A failure domain is drained with all its nodes
    When the command "drain --node NODE --failure_domain ipoh" is run
    Then each admin node was drained once

  Scenario: An invalid command line runs no command
    When the command "drain --node NODE --surplus 1" is run
    Then no admin node was drained

  Scenario: The settings check lists every fault of a file
    Given the file "s.json" with {"instance": "A!", "surplus": 1}
    When the command "settings check s.json" is run
    Then the command's exit code is 2
    And the command printed "instance: "
    And the command printed "surplus: "
    And the command printed "http_port: "

  Scenario: The timeline command reads collected logs
    Given the file "a.jsonl" with a log of instance "x" and a malformed line
    When the command "timeline a.jsonl --instance x" is run
    Then the command's exit code is 0
    And the command printed "NODE_STARTED"
    And the command printed "skipped 1 lines that are not event records"

  Scenario Outline: Commands discover the nodes through the platform
    Given a platform stand-in
    And the platform lists the admin nodes as members
    When the command "<command> --platform PLATFORM" is run
    Then the command's exit code is <code>
    And the command printed "<printed>"

    Examples: commands
      | command               | code | printed                         |
      | status                | 0    | 2 nodes, 0 lagging, 0 silent    |
      | members               | 0    | ownership revision 2            |
      | owner --pool p --key k | 0   | k is hashed to shard 4          |
      | timeline              | 0    | SHARDS_GAINED                   |
      | lease --node NODE     | 2    | give --node or --platform       |

  Scenario: A command reports an unreachable platform
    When the command "status --platform 127.0.0.1:1" is run
    Then the command's exit code is 4
    And the command printed "platform: unavailable"

  Scenario: The explain command shows a request's log lines and the state changes before them
    Given the file "a.log" with the router log
      """
        1.0 n1 {"wall_ms": 1000, "instance": "n1", "number": 3401, "event": "LINK_DOWN", "node_id": "n2@1"}
        1.1 n1 {"wall_ms": 1100, "instance": "n1", "number": 3501, "event": "ANSWER_OWN", "request_id": "ab", "status": 503, "cause": "owner away", "node_id": "n2@1"}
        1.2 n1 {"wall_ms": 1200, "instance": "n1", "number": 3501, "event": "ANSWER_OWN", "request_id": "cd", "status": 503}
      """
    And the file "b.log" with the router log
      """
      {"wall_ms": 900, "instance": "n2", "number": 3001, "event": "ROUTER_STOPPING"}
      {"wall_ms": 950, "instance": "n3", "number": 3001, "event": "ROUTER_STOPPING"}
      not a log line of a router
      """
    When the command "explain a.log b.log --request ab" is run
    Then the command's exit code is 0
    And the command printed ">    200 ms n1 ANSWER_OWN request_id=ab status=503 cause=owner away"
    And the command printed "     100 ms n1 LINK_DOWN node_id=n2@1"
    And the command printed "       0 ms n2 ROUTER_STOPPING"
    And the command printed "b.log: skipped 1 lines without a record"
    When the command "explain a.log --request ef" is run
    Then the command's exit code is 2
