Feature: Hot keys are detected and split into their own shards

  Scenario Outline: The hottest keys are detected among many keys
    Given a hot key counter of <capacity> keys
    When <seconds> s of traffic have 20 keys at <hot> requests/s and <cold> other keys/s
    Then the hot key counter reports just these 20 keys above <limit> requests/s
    And 20 new hot keys are reported instead after <seconds> s more

    Examples: traffic
      | capacity | seconds | hot | cold | limit |
      | 256      | 60      | 40  | 500  | 10    |
      | 128      | 60      | 40  | 2000 | 10    |
      | 64       | 120     | 20  | 500  | 10    |

  Scenario Outline: A key is split after it stayed hot and merged after it stayed cool
    Given a member that may split hot keys
    When key "k" has these rates at these seconds: <rates>
    Then the splits and merges of hot keys are: <changes>

    Examples: hysteresis
      | rates                               | changes          |
      | 0:200 4:200                         | none             |
      | 0:200 5:200                         | split@5          |
      | 0:200 4:50 5:200 9:200              | none             |
      | 0:200 5:200 6:50 66:50              | split@5          |
      | 0:200 5:200 6:10 65:10              | split@5          |
      | 0:200 5:200 6:10 66:10              | split@5 merge@66 |
      | 0:200 5:200 6:10 40:50 41:10 100:10 | split@5          |

  Scenario: A cool key whose two shards have different owners is moved before its merge
    Given a member that may split hot keys
    And the hashed shard of split key "k" has another owner
    When key "k" has these rates at these seconds: 0:1 60:1
    Then the shard of the key is to move to the owner of its hashed shard
