Feature: Load reports give a planner the rates of shards

  Scenario Outline: The rate of a shard
    Given load reports recorded at 10000
      | owner | shards | rates | rest |
      | a     | 0 1    | 8 4   | 2    |
      | b     | 4      | 6     | 0    |
    When the shards 0 to 5 belong to "<owners>" at <now>
    Then the load reports give the rates "<loads>"

    Examples:
      | owners      | now    | loads             | why                                     |
      | a a a a b b | 11000  | 8 4 2 2 6 0       | as reported                             |
      | b a a a b b | 11000  | 8 4 2 2 6 0       | 0 has just moved to b                   |
      | c a a a b b | 11000  | 8 4 2 2 6 0       | 0 has just moved to c, without a report |
      | a a c c b b | 11000  | 8 4 - - 6 0       | the owner of 2 and 3 has no report      |
      | a a a a b b | 80000  | 2 2 2 2 0 0       | the rates of listed shards are stale    |
      | a a a a b b | 200000 | - - - - - -       | the reports are stale                   |
