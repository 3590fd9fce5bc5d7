Feature: Operators read and change the tables from the command line

  Background:
    Given a platform stand-in
    And the operator's file "a.json" with pool "p" of 8 shards and 20 slots
    And the operator's file "b.json" with pool "p" of 8 shards and 30 slots
    And the operator's file "c.json" with pool "p" of 16 shards and 20 slots
    And the operator's file "wrong.json" with pool "p" of 6 shards and 20 slots
    And the operator "ann" has applied "a.json" at revision 0

  Scenario Outline: The exit code and the output report the outcome
    Given nodes that are <nodes>
    And the platform's mode is <mode>
    When the tables command "<command>" is run
    Then the tables command exits with <code> and prints "<text>"

    Examples: commands
      | nodes       | mode             | command                                                             | code | text                                     |
      | absent      | {"mode": "up"}   | show                                                                | 0    | revision 1 by ann                        |
      | absent      | {"mode": "up"}   | show --json                                                         | 0    | "outcome": "shown"                       |
      | absent      | {"mode": "down"} | show                                                                | 4    | nothing was done: unavailable            |
      | absent      | {"mode": "up"}   | check a.json                                                        | 0    | a.json is valid                          |
      | absent      | {"mode": "up"}   | check wrong.json                                                    | 2    | pools.0.shard_count: a keyed pool        |
      | absent      | {"mode": "up"}   | check missing.json                                                  | 2    | (file): a readable file                  |
      | absent      | {"mode": "up"}   | diff a.json                                                         | 0    | no difference from revision 1            |
      | absent      | {"mode": "up"}   | diff b.json                                                         | 0    | pools.p.slots: 20 -> 30                  |
      | absent      | {"mode": "up"}   | diff c.json                                                         | 2    | this change is unsafe                    |
      | absent      | {"mode": "up"}   | history                                                             | 0    | revision 1 by ann                        |
      | absent      | {"mode": "up"}   | apply b.json --author bea --comment more --expected-revision 1      | 0    | revision 2, in force on all nodes        |
      | absent      | {"mode": "up"}   | apply a.json --author bea --comment same --expected-revision 1      | 0    | revision 1, which has the same tables    |
      | up to date  | {"mode": "up"}   | apply b.json --author bea --comment more --expected-revision 1      | 0    | revision 2, in force on all nodes        |
      | delayed     | {"mode": "up"}   | apply b.json --author bea --comment more --expected-revision 1      | 0    | revision 2, in force on all nodes        |
      | lagging     | {"mode": "up"}   | apply b.json --author bea --comment more --expected-revision 1 --wait-ms 1 | 6 | n-1 (127.0.0.1:NODE): at revision 1   |
      | unreachable | {"mode": "up"}   | apply b.json --author bea --comment more --expected-revision 1 --wait-ms 1 | 6 | n-1 (127.0.0.1:NODE): [Errno 111]     |
      | absent      | {"mode": "up"}   | apply wrong.json --author bea --comment more --expected-revision 1  | 2    | pools.0.shard_count                      |
      | absent      | {"mode": "up"}   | apply c.json --author bea --comment more --expected-revision 1      | 2    | pools.p.shard_count: 8                   |
      | absent      | {"mode": "up"}   | apply b.json --author bea --comment more --expected-revision 0      | 3    | "slots": 20} (changed by both)           |
      | absent      | {"mode": "down"} | apply b.json --author bea --comment more --expected-revision 1      | 4    | nothing was done                         |
      | absent      | {"mode": "down"} | apply b.json --author bea --comment more --expected-revision 1 --write-id w | 5 | --write-id w                       |
      | absent      | {"mode": "up"}   | apply b.json --author bea --expected-revision 1                     | 2    | required flags                           |

  Scenario: A pool is rejected if its shards are recorded with another count
    Given the shards of pool "p" are recorded as 32
    When the tables command "apply b.json --author bea --comment x --expected-revision 1" is run
    Then the tables command exits with 2 and prints "pools.p.shard_count: 32"

  Scenario: The platform must be given by exactly one option
    When the tables command "show --settings node.json" is run
    Then the tables command exits with 2 and prints "either this or --settings"
