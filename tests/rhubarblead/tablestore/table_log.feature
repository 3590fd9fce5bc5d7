Feature: Tables are changed by one operator at a time, with a history

  Background:
    Given a platform stand-in
    And a table log with a timeout of 300 ms
    And "ann" has applied tables with 20 slots at revision 0

  Scenario Outline: The outcome of a change is reported correctly while the platform fails
    Given the platform's <fault> is <setting>
    When "bea" applies tables with <slots> slots at revision <expected>
    Then the change is "<outcome>"
    And the tables have <left> slots at revision <revision> once the platform has recovered

    Examples: faults
      | fault  | setting                                       | slots | expected | outcome        | left | revision |
      | mode   | {"mode": "up"}                                | 30    | 1        | Applied        | 30   | 2        |
      | mode   | {"mode": "up"}                                | 20    | 1        | Applied        | 20   | 1        |
      | mode   | {"mode": "up"}                                | 30    | 0        | TablesConflict | 20   | 1        |
      | mode   | {"mode": "up"}                                | 30    | 7        | NotDone        | 20   | 1        |
      | mode   | {"mode": "down"}                              | 30    | 1        | NotDone        | 20   | 1        |
      | mode   | {"mode": "slow", "delay_ms": 700, "count": 1} | 30    | 1        | NotDone        | 20   | 1        |
      | mode   | {"mode": "answer-lost", "count": 1}           | 30    | 1        | Applied        | 30   | 2        |
      | budget | {"writes_per_s": 0}                           | 30    | 1        | NotDone        | 20   | 1        |
      | budget | {"reads_per_s": 0}                            | 30    | 1        | NotDone        | 20   | 1        |

  Scenario Outline: A change in doubt is resolved when it is applied again
    Given commits run in mode <mode>, and the platform is down afterwards
    When "bea" applies tables with 30 slots at revision 1
    Then the change is "InDoubt"
    When the platform has recovered, and "ann" applies <others> changes
    And "bea" applies the same change again
    Then the change is "<outcome>"

    Examples: outcomes
      | mode        | others | outcome        |
      | answer-lost | 0      | Applied        |
      | answer-lost | 1      | Applied        |
      | answer-lost | 3      | Applied        |
      | down        | 0      | Applied        |
      | down        | 2      | TablesConflict |

  Scenario: A conflict shows both sides
    Given "ann" has applied tables with 25 slots at revision 1
    When "bea" applies tables with 30 slots at revision 1
    Then the change is "TablesConflict"
    And the conflict shows that "ann" changed slots from 20 to 25, and you to 30

  Scenario: Of concurrent changes only one is applied
    When 6 operators apply their changes at revision 1 at once
    Then one change was applied, and the others are conflicts

  Scenario: The history lists each change with the tables before and after
    Given "bea" has applied tables with 25 slots at revision 1
    And "cem" has applied tables with 30 slots at revision 2
    Then the last 3 changes are "cem 25-30, bea 20-25, ann 0-20"
    And the last 2 changes are "cem 25-30, bea 20-25"
    And the last 9 changes are "cem 25-30, bea 20-25, ann 0-20"

  Scenario: An unsafe change leaves the tables unchanged
    When "bea" applies tables with another number of shards at revision 1
    Then the change is "Refused"
    And the tables have 20 slots at revision 1 once the platform has recovered

  Scenario: Tables that can't be read are not replaced
    Given the tables row is replaced by "text"
    When "bea" applies tables with 30 slots at revision 2
    Then the change is "NotDone"
