Feature: A random search for two owners of one shard

  Scenario: The search finds no two owners
    When 120 random sequences of lease faults are searched
    Then the lease search found nothing

  Scenario Outline: The search finds deliberate faults
    Given lease decisions broken so that <fault>
    When 200 random sequences of lease faults are searched
    Then the lease search found two owners

    Examples: broken decisions
      | fault                                       |
      | promises count from their receipt           |
      | one lapse is enough to evict                |
      | lapses of an old epoch count                |
      | new granters count before the commit        |
      | granters promise after a lapse              |
      | granters promise to members they don't know |
      | members without granters are evicted        |
      | granters promise without bound              |
      | granters state a lapse too early            |
