Feature: Shards are handed over without interrupting requests

  Scenario Outline: A shard with another target owner is drained and released
    Given a handover of shards 1 and 2, of which shard 1 has a new target owner
    When these handover events happen: <events>
    Then the handover ends with <admitting> admitting and <ready> ready

    Examples: events
      | events                                           | admitting | ready |
      | tick                                             | 2         | 1     |
      | begin tick                                       | 2         | none  |
      | begin tick end tick                              | 2         | 1     |
      | begin tick timeout                               | 1 2       | none  |
      | begin tick timeout tick                          | 1 2       | none  |
      | begin tick timeout end timeout                   | 2         | 1     |
      | tick cancel                                      | 1 2       | none  |
      | tick commit                                      | 2         | none  |
      | tick commit timeout                              | 2         | none  |
      | tick commit in_doubt timeout                     | 2         | none  |
      | tick commit cancel in_doubt                      | 2         | none  |
      | tick commit cancel not_done                      | 1 2       | none  |
      | tick commit not_done tick                        | 2         | 1     |
      | tick commit done                                 | 2         | none  |
      | tick commit done stale timeout                   | 2         | none  |
      | tick commit done move                            | 2         | none  |
      | tick commit in_doubt move regain                 | 1 2       | none  |
      | tick evict                                       | none      | none  |
      | leave remove_other tick                          | none      | 1 2   |
      | leave tick                                       | none      | 1 2   |
      | leave cancel tick                                | none      | 1 2   |
      | begin leave tick                                 | none      | 2     |
      | begin lose_lease tick                            | none      | 2     |
      | begin lose_lease tick end_grants                 | none      | 1 2   |
      | begin lose_lease tick end_grants commit done end | none      | none  |

  Scenario: A handover closes at most as many shards as one transaction moves
    Given a handover of 3000 shards that all have a new target owner
    When the handover ticks
    Then 1024 shards are ready and 1976 admit requests
