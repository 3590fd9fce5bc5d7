Feature: Unrepeatable requests run at most once, across changes of owners and granters

  Scenario Outline: The next owner replays or refuses a request that an owner ran
    Given ledger owners x, y and z with granters a to e
    When these ledger events happen: <events>
    Then the ledger answers to a retry of "k" with <answer>

    Examples: owner and granters are lost
      | events                                                           | answer      |
      | send k, take y x                                                 | replay      |
      | start k, take y x                                                | memory-lost |
      | pass 1, take y x                                                 | ran         |
      | cut x abc, send k, heal, take y x                                | ran         |
      | cut x bc, send k, heal, take y x                                 | ran         |
      | drop-answers x bc, send k, heal, take y x                        | ran         |
      | send k, take y x c                                               | replay      |
      | cut x c, send k, heal, take y x a                                | replay      |
      | cut x c, send k, heal, take y x a b                              | memory-lost |
      | cut x a, send k, heal, take y x b c                              | memory-lost |
      | cut x a, send k, heal, cut y bc, take y x                        | memory-lost |
      | cut x a, send k, heal, take y x b c, pass 9000, send l, take z y | memory-lost |
      | send k, take y x, take z y                                       | replay      |
      | slow x ab, send k, heal, deliver, take y x                       | ran         |
      | slow x ab, send k, heal, send k, deliver, take y x               | replay      |
      | slow x ab, send k, heal, start k, deliver backwards, take y x    | memory-lost |
      | send k, cut y abc, take y x, heal, take z y                      | memory-lost |

    Examples: granters change
      | events                                                                                                              | answer      |
      | send k, granters x ade, take y x                                                                                    | replay      |
      | cut x ade, send k, granters x ade, heal, take y x                                                                   | memory-lost |
      | cut x de, send k, granters x ade, heal, send l, send l, take y x                                                    | replay      |
      | cut x a, send k, granters x bcd, granters x abd, take y x a                                                         | replay      |
      | cut x c, send l, granters x abd, cut x a, send k, cut x e, granters x ace, heal, take y x                           | memory-lost |
      | slow x d, granters x bcd, heal, granters x abc, cut x a, send k, cut x ade, granters x ade, heal, deliver, take y x | memory-lost |
      | lag x, open k, granters x ade, publish x, follow x, begin, end, take y x                                            | ran         |
      | lag c, granters x abd, cut x a, send k, cut x ace, granters x ace, catch-up c snapshot, heal, take y x              | memory-lost |

    Examples: shards move
      | events                                                                                    | answer             |
      | send k, give y, give x, take z x                                                          | replay             |
      | give y, send k, lag x, give x, take z x                                                   | memory-lost        |
      | give y, send k, cut x abc, give x, heal, take z x                                         | memory-lost        |
      | lag x, give y, send k, give x, catch-up x                                                 | replay             |
      | lag x, give y, send k, give x, catch-up x snapshot                                        | memory-lost        |
      | lag x, give y, send k, give x, publish x                                                  | ledger-unavailable |
      | lag x, give y, send k, give x, publish x, send k, follow x                                | replay             |
      | defer x, give y, give x, give y, pass 9000, send k, give x                                | ledger-unavailable |
      | defer x, give y, give x, lag x, give y, pass 9000, send k, give x, run-jobs x, catch-up x | replay             |
      | send k, lag y, take y x, catch-up y snapshot                                              | memory-lost        |
      | send k, give y, lag z, give z, catch-up z                                                 | replay             |

    Examples: members without granters, and members that come back
      | events                                                           | answer      |
      | join l, give l, send k, take y l                                 | memory-lost |
      | join l, give l, send k, granters l abc, take y l                 | replay      |
      | join l, give l, lag l, granters l abc, send k, take y l          | memory-lost |
      | send k, crash a, join a2, take y x a                             | replay      |
      | cut x c, send k, heal, crash a b, join a2, join b2, take y x a b | memory-lost |

  Scenario Outline: A granter with little capacity evicts only the oldest keys
    Given ledger owners x, y and z with granters a to e with little capacity
    When these ledger events happen: <events>
    Then the ledger answers to a retry of "<key>" with <answer>

    Examples:
      | events                                                           | key | answer      |
      | send k, pass 9, send l, pass 9, send m, pass 9, send n, take y x | k   | memory-lost |
      | send k, pass 9, send l, pass 9, send m, pass 9, send n, take y x | n   | replay      |
      | send k, pass 9, send l, pass 9, send m, pass 9, take y x         | n   | ran         |

  Scenario Outline: Keys that fail to replicate succeed on a retry, even without state changes
    Given ledger owners x, y and z with granters a to e
    When these ledger events happen: <events>
    Then the ledger answers to a retry of "k" with replay

    Examples:
      | events                                                      |
      | cut x abde, granters x ade, heal, send k, send k, take y x  |
      | break x, granters x ade, repair x, send k, send k, take y x |

  Scenario Outline: A request runs twice if one rule for replicas is broken
    Given ledger replication broken so that <fault>
    And ledger owners x, y and z with granters a to e
    When these ledger events happen: <events>
    Then the ledger runs "k" twice

    Examples:
      | fault                                        | events                                                                                    |
      | a granter of an earlier epoch counts         | cut x c, send l, granters x abd, cut x a, send k, cut x e, granters x ace, heal, take y x |
      | requests start with views of other revisions | lag x, give y, send k, give x, publish x                                                  |
      | one granter is enough for a write            | cut x bc, send k, heal, take y x a                                                        |
      | a marker under an earlier fence counts       | give y, send k, lag x, give x, take z x                                                   |

  Scenario: A search finds no request that runs twice
    When 150 random sequences of ledger faults are searched
    Then the ledger search found nothing

  Scenario Outline: The search finds deliberate faults in replication
    Given ledger replication broken so that <fault>
    When 300 random sequences of ledger faults are searched
    Then the ledger search found a request that ran twice

    Examples:
      | fault                                  |
      | one granter is enough for a write      |
      | one granter is enough for a read       |
      | an older entry replaces a newer one    |
      | a shard needs no marker                |
      | a marker under an earlier fence counts |
