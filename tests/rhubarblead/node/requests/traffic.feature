Feature: A planner knows the rates of shards

  Scenario Outline: The rate that counts for a shard
    Given a load book with reports at 10000
      | owner | shards | rates | rest |
      | a     | 0 1    | 8 4   | 2    |
      | b     | 4      | 6     | 0    |
    When the shards 0 to 5 belong to "<owners>" at <now>
    Then the load book says "<loads>"

    Examples:
      | owners      | now    | loads             | why                            |
      | a a a a b b | 11000  | 8 4 2 2 6 0       | as reported                    |
      | b a a a b b | 11000  | 8 4 2 2 6 0       | 0 has just moved to b          |
      | c a a a b b | 11000  | 8 4 2 2 6 0       | and to one that never reported |
      | a a c c b b | 11000  | 8 4 - - 6 0       | nothing is known of 2 and 3    |
      | a a a a b b | 80000  | 2 2 2 2 0 0       | not listed for long            |
      | a a a a b b | 200000 | - - - - - -       | reports are too old            |
