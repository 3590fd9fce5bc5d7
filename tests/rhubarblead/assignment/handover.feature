Feature: Shards are handed over without cutting off a request

  Scenario Outline: A shard that is wanted elsewhere
    Given a handover with shards 1 and 2, of which 1 is wanted elsewhere
    When these handover events happen: <events>
    Then the handover ends with <admitting> admitting and <ready> ready

    Examples: events
      | events                                                  | admitting | ready |
      | tick                                                    | 2         | 1     |
      | begin tick                                              | 2         | none  |
      | begin tick end tick                                     | 2         | 1     |
      | begin tick late                                         | 1 2       | none  |
      | begin tick late tick                                    | 1 2       | none  |
      | begin tick late end late                                | 2         | 1     |
      | tick unwanted                                           | 1 2       | none  |
      | tick commit                                             | 2         | none  |
      | tick commit late                                        | 2         | none  |
      | tick commit in_doubt late                               | 2         | none  |
      | tick commit unwanted in_doubt                           | 2         | none  |
      | tick commit unwanted not_done                           | 1 2       | none  |
      | tick commit not_done tick                               | 2         | 1     |
      | tick commit done                                        | 2         | none  |
      | tick commit done stale late                             | 2         | none  |
      | tick commit done moved                                  | 2         | none  |
      | tick commit in_doubt moved regained                     | 1 2       | none  |
      | tick evicted                                            | none      | none  |
      | leave alone tick                                        | none      | 1 2   |
      | leave tick                                              | none      | 1 2   |
      | leave unwanted tick                                     | none      | 1 2   |
      | begin leave tick                                        | none      | 2     |
      | begin lose tick                                         | none      | 2     |
      | begin lose tick void                                    | none      | 1 2   |
      | begin lose tick void commit done end                    | none      | none  |

  Scenario: A handover closes no more shards at once than one transaction moves
    Given a handover of 3000 shards that are all wanted elsewhere
    When the handover ticks
    Then 1024 shards are ready and 1976 admit requests
