Feature: The event log keeps a bounded time line and writes JSON log lines

  Scenario: The event log writes each event as one JSON line with its sequence and Lamport time
    Given an event log of instance "node-1" with a capacity of 10 events
    And the event log writes at level "INFO"
    When the event log records MEMBER_JOINED with {"member_id": "m1"}
    And the event log records REQUEST_ANSWERED with {"request_id": "r1"}
    Then 1 JSON line is written
    And the JSON line 1 has
      | field    | value               |
      | number   | 1200                |
      | name     | MEMBER_JOINED       |
      | instance | node-1              |
      | sequence | 1                   |
      | lamport  | 327680000           |
      | wall_ms  | 5000                |
      | fields   | {"member_id": "m1"} |

  Scenario: Request events don't displace rare events from the event log
    Given an event log of instance "node-1" with a capacity of 10 events
    When the event log records MEMBER_JOINED with {"member_id": "m1"}
    And the event log records REQUEST_ANSWERED 100 times
    Then the event log lists 6 events, the first being MEMBER_JOINED

  Scenario Outline: The event log's Lamport time follows received messages
    Given an event log of instance "node-1" with a capacity of 10 events
    When the event log observes the Lamport time <received>
    And the event log records MEMBER_JOINED with {"member_id": "m1"}
    Then the event log's last Lamport time is <time>
    And the event log's next message has the Lamport time <next>

    Examples: times
      | received  | time      | next      |
      | 0         | 327680000 | 327680001 |
      | 327680040 | 327680041 | 327680042 |
      | 900000000 | 900000001 | 900000002 |

  Scenario Outline: The event log is filtered
    Given an event log of instance "node-1" with a capacity of 10 events
    When the event log records REQUEST_ANSWERED with {"request_id": "r1", "key": "depot-1"}
    And the event log records REQUEST_ANSWERED with {"request_id": "r2", "key": "depot-2"}
    Then the event log lists <count> events for <filter>

    Examples: filters
      | filter               | count |
      | {"key": "depot-1"}   | 1     |
      | {"request_id": "r2"} | 1     |
      | {"request_id": "r3"} | 0     |
      | {"since_ms": 5000}   | 2     |
      | {"since_ms": 5001}   | 0     |
      | {"until_ms": 4999}   | 0     |

  Scenario: Concurrent threads record every event in the event log
    Given an event log of instance "node-1" with a capacity of 8000 events
    When 4 threads each record 500 events in the event log
    Then the event log's sequence numbers are 1 to 2000

  Scenario: Events of two runs of a process are distinguishable
    Then event logs of two runs of instance "node-1" differ in their incarnation

  Scenario Outline: Shards are formatted as ranges in events
    Given the event's shards <shards>
    Then the event's shards are formatted as "<text>"

    Examples: shards
      | shards          | text    |
      | []              |         |
      | [7]             | 7       |
      | [3, 1, 2, 9]    | 1-3,9   |
      | [0, 2, 4, 5, 5] | 0,2,4-5 |

  Scenario Outline: A shard is found in an event's field
    Then the event's field <value> contains shard 4: <answer>

    Examples: fields
      | value     | answer |
      | "1-4,9"   | yes    |
      | "1-3,5"   | no     |
      | "4"       | yes    |
      | ""        | no     |
      | "rubbish" | no     |
      | [3, 4]    | yes    |
      | null      | no     |

  Scenario: Numbers of the event catalogue are unique and in order
    Then the numbers of the event catalogue increase
