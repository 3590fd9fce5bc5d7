Feature: The ownership log keeps each entry once, even if answers are lost

  Background:
    Given a platform stand-in
    And an ownership log of "writer" with a timeout of 300 ms

  Scenario Outline: The outcome of a failed or unanswered write is resolved
    Given the log has 3 entries
    And the platform's <fault> is <setting>
    When the log appends a move
    Then the append is "<appended>"
    When the platform has recovered and the write in doubt is resolved
    Then the append is "<resolved>"
    And entry 4 was written once by "writer"

    Examples: faults
      | fault  | setting                                       | appended | resolved |
      | mode   | {"mode": "up"}                                | Appended | Appended |
      | mode   | {"mode": "down"}                              | InDoubt  | Appended |
      | mode   | {"mode": "slow", "delay_ms": 700, "count": 1} | InDoubt  | Appended |
      | mode   | {"mode": "answer-lost", "count": 1}           | InDoubt  | Appended |
      | budget | {"writes_per_s": 0}                           | NotDone  | Appended |

  Scenario Outline: A lost answer is resolved after entries of other writers
    Given the log has 3 entries
    And the platform's mode is <mode>
    When the log appends a move
    Then the append is "InDoubt"
    When <others> entries are written by others
    And the platform has recovered and the write in doubt is resolved
    Then the append is "<resolved>"

    Examples: write ids in the row, and only in snapshots
      | mode                                | others | resolved   |
      | {"mode": "answer-lost", "count": 1} | 1      | Appended   |
      | {"mode": "answer-lost", "count": 1} | 255    | Appended   |
      | {"mode": "answer-lost", "count": 1} | 256    | Appended   |
      | {"mode": "answer-lost", "count": 1} | 450    | Appended   |
      | {"mode": "down"}                    | 1      | Superseded |
      | {"mode": "down"}                    | 256    | Superseded |
      | {"mode": "down"}                    | 450    | Superseded |

  Scenario Outline: A write stays in doubt while the platform is failing
    Given the log has 3 entries
    And the platform's mode is {"mode": "answer-lost", "count": 1}
    When the log appends a move
    Given the platform's <fault> is <setting>
    When the write in doubt is resolved
    Then the append is "InDoubt"

    Examples: faults
      | fault  | setting                              |
      | mode   | {"mode": "down"}                     |
      | mode   | {"mode": "slow", "delay_ms": 700}    |
      | budget | {"reads_per_s": 0}                   |

  Scenario: A write whose repetition is refused stays in doubt
    Given the log has 3 entries
    And the platform's mode is {"mode": "down"}
    When the log appends a move
    Given the platform's mode is {"mode": "up"}
    And the platform's budget is {"writes_per_s": 0}
    When the write in doubt is resolved
    Then the append is "InDoubt"

  Scenario: A write that is based on an old state is superseded
    Given the log has 3 entries
    When 1 entries are written by others
    And the log appends a move
    Then the append is "Superseded"

  Scenario: Concurrent writers never write the same revision
    Given the log has 1 entries
    When 6 writers append 5 moves each and retry superseded ones
    Then the log holds 31 entries, each with a different write id

  Scenario Outline: Readers need a snapshot only if they are far behind
    Given the log has <entries> entries
    When a reader at revision <reader> reads the log
    Then the reader has the state of all entries
    And it got <read> entries, and a snapshot: <has_snapshot>

    Examples: around the first compaction
      | entries | reader | read | has_snapshot |
      | 0       | 0      | 0    | no           |
      | 1       | 0      | 1    | no           |
      | 256     | 0      | 256  | no           |
      | 256     | 256    | 0    | no           |
      | 257     | 256    | 1    | no           |
      | 257     | 129    | 128  | no           |
      | 257     | 128    | 0    | yes          |
      | 259     | 0      | 2    | yes          |

  Scenario: An entry that is too large for the row is stored in a snapshot
    Given the log has 3 entries
    When the log appends 40000 moves at once
    Then the append is "Appended"
    When a reader at revision 3 reads the log
    Then the reader has the state of all entries
    And it got 0 entries, and a snapshot: yes

  Scenario Outline: Readers that missed a large entry need no snapshot
    Given the log has 3 entries
    And <large> entries with 12000 moves each follow, then <small> with 1
    When a reader at revision <reader> reads the log
    Then the reader has the state of all entries
    And it got <read> entries, and a snapshot: no

    Examples: as large as the loss of a failure domain
      | large | small | reader | read |
      | 3     | 0     | 5      | 1    |
      | 3     | 3     | 5      | 4    |
      | 4     | 1     | 6      | 2    |

  Scenario: The row isn't changed when its snapshot can't be stored
    Given the log has 256 entries
    And the platform's budget is {"writes_per_s": 0}
    When the log appends a move
    Then the append is "NotDone"
    When the platform has recovered and a reader at revision 0 reads the log
    Then the reader has the state of all entries

  Scenario Outline: An inconsistent log is refused
    Given the log has 257 entries
    And the ownership row is replaced by <row>
    When a reader at revision <reader> reads the log
    Then the reader is refused with "Corrupt"

    Examples: rows
      | row                                                       | reader |
      | "text"                                                    | 0      |
      | {"entries": []}                                           | 0      |
      | {"base_revision": 258, "base_digest": "00"}               | 0      |
      | {"base_revision": 258, "base_digest": ""}                 | 0      |
      | {"base_revision": 258, "base_digest": ""}                 | 300    |

  Scenario: Changes that contradict the state are never written
    Given the log has 3 entries
    When the log appends the eviction of an unknown member
    Then the append was refused, and the log holds 3 entries

  Scenario: An append after cached entries does not read the row
    Given the log has 3 entries
    When 2 entries are written by others, and the log caches them
    And the log appends a move without reading the row
    Then the append is "Appended"
