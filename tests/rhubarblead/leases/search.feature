Feature: A random search finds no shard with two owners

  Scenario: The search finds no shard with two owners
    When 120 random sequences of lease faults are searched
    Then the lease search found no shard with two owners

  Scenario Outline: The search detects deliberate faults
    Given lease decisions broken so that <fault>
    When 200 random sequences of lease faults are searched
    Then the lease search found a shard with two owners

    Examples: broken decisions
      | fault                                   |
      | promises count from their receipt       |
      | one lapse is enough to evict            |
      | lapses of an old epoch count            |
      | new granters count before the commit    |
      | granters promise after a lapse          |
      | granters promise to unknown members     |
      | members without granters are evicted    |
      | granters need no evidence of membership |
      | granters state lapses too early         |
