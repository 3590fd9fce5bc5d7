Feature: The timeline of all processes is in causal order

  Scenario Outline: Timelines of processes are merged with <fault>
    Given the timeline events
      | instance | seq   | lamport | wall_ms | name            |
      | a        | 1     | 1       | <a1>    | NODE_STARTED    |
      | a        | 2     | 5       | <a2>    | MEMBER_JOINED   |
      | b        | 1     | 6       | <b1>    | NODE_STARTED    |
      | b        | 2     | 7       | <b2>    | MEMBER_JOINED   |
      | a        | 3     | 7       | <a3>    | GRANTERS_CHOSEN |
    When the timelines are merged in order "<order>"
    Then the merged timeline is "a1 a2 b1 a3 b2"

    Examples: faults
      | fault             | a1  | a2  | a3  | b1  | b2  | order          |
      | no fault          | 100 | 200 | 300 | 250 | 301 | a1 a2 b1 b2 a3 |
      | a skewed clock    | 900 | 950 | 999 | 10  | 20  | a1 a2 b1 b2 a3 |
      | a clock set back  | 900 | 100 | 50  | 10  | 5   | a1 a2 b1 b2 a3 |
      | duplicated events | 100 | 200 | 300 | 250 | 301 | a1 a1 a2 b1 b2 a3 b1 |
      | events out of order | 100 | 200 | 300 | 250 | 301 | b2 a3 a1 b1 a2 |

  Scenario Outline: Gaps in the timeline are reported
    Given the timeline events
      | instance | seq      | lamport | wall_ms | name           | fields                                     |
      | a        | 1        | 1       | 1       | NODE_STARTED   |                                            |
      | a        | <second> | 9       | 2       | MEMBER_EVICTED | {"member_instance": "<evicted>"}           |
      | b        | 1        | 2       | 3       | NODE_STARTED   |                                            |
    When the timelines are merged while "<unreachable>" is unreachable
    Then the timeline's gaps are "<gaps>"

    Examples: gaps
      | second | evicted | unreachable | gaps                                        |
      | 2      | b       |             |                                             |
      | 2      | b       | c           | c: unreachable                              |
      | 2      | d       |             | d: evicted; its own events are lost         |
      | 2      | d       | d           | d: unreachable                              |
      | 5      | b       |             | a: 3 events are no longer kept              |

  Scenario: The owners of a key are ordered by the store's revisions, not by clocks
    Given the timeline events
      | instance | seq | lamport | wall_ms | name          | fields                                              |
      | b        | 1   | 3       | 100     | SHARDS_GAINED | {"pool": "p", "shards": "0-7", "revision": 12}      |
      | a        | 1   | 9       | 900     | SHARDS_GAINED | {"pool": "p", "shards": "4", "revision": 7}         |
      | b        | 2   | 4       | 101     | SHARDS_GAINED | {"pool": "p", "shards": "0-7", "revision": 12}      |
      | c        | 1   | 5       | 50      | KEY_SPLIT     | {"pool": "p", "key": "k", "shard": 9, "revision": 15} |
    Then the timeline's owners are "a 7-12, b 12-15, c 15-"

  Scenario Outline: An owner whose events are lost still appears
    Given the timeline events
      | instance | seq | lamport | wall_ms | name          | fields                                         |
      | a        | 1   | 1       | 1       | SHARDS_GAINED | {"pool": "p", "shards": "4", "revision": 7}    |
      | a        | 2   | 2       | 2       | SHARDS_LOST   | {"pool": "p", "shards": "4", "revision": <lost>} |
      | c        | 1   | 3       | 3       | SHARDS_GAINED | {"pool": "p", "shards": "4", "revision": 12}   |
      | c        | 2   | 4       | 4       | LEDGER_ADOPTED | {"pool": "p", "shards": "4", "previous_owner": "<previous>"} |
    Then the timeline's owners are "<owners>"

    Examples: losses
      | lost | previous | owners                                                       |
      | 12   | a.1      | a 7-12, c 12-                                                |
      | 9    | b.1      | a 7-9, b.1 (its own events are lost) 9-12, c 12-             |
      | 9    |          | a 7-9, nobody, or an owner whose events are lost 9-12, c 12- |

  Scenario: An evicted owner's tenure ends with its eviction
    Given the timeline events
      | instance | seq | lamport | wall_ms | name           | fields                                       |
      | a        | 1   | 1       | 1       | SHARDS_GAINED  | {"pool": "p", "shards": "4", "revision": 7}  |
      | c        | 1   | 2       | 2       | MEMBER_EVICTED | {"member_id": "a.1", "revision": 9}          |
      | c        | 2   | 3       | 3       | SHARDS_GAINED  | {"pool": "p", "shards": "4", "revision": 12} |
    Then the timeline's owners are "a 7-9, nobody, or an owner whose events are lost 9-12, c 12-"

  Scenario Outline: A request is summarized
    Given the timeline events
      | instance | seq | lamport | wall_ms | name             | fields                                                                                |
      | a        | 1   | 1       | 1       | REQUEST_FORWARDED | {"request_id": "r1", "owner": "b"}                                                   |
      | b        | 1   | 2       | 1       | REQUEST_STARTED  | {"request_id": "r1", "server": "b"}                                                   |
      | a        | 2   | 3       | 1       | REQUEST_ANSWERED | {"request_id": "r1", "verdict": "ran", "status": 200}                                 |
      | a        | 3   | 4       | 1       | REQUEST_REFUSED  | {"request_id": "r2", "verdict": "not-run", "status": 503, "refusal": "no-owner"}      |
      | b        | 2   | 5       | 1       | REQUEST_STARTED  | {"request_id": "r3", "server": "b"}                                                   |
    Then the summary of "<request>" is <starts> starts, "<verdict>", <status>

    Examples: requests
      | request | starts | verdict | status |
      | r1      | 1      | ran     | 200    |
      | r2      | 0      | not-run | 503    |
      | r3      | 1      | none    | 0      |
      | r4      | 0      | none    | 0      |
