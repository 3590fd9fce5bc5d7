Feature: Unrepeatable requests run at most once, across changes of owners and granters

  Scenario Outline: The next owner replays or refuses a request that an owner ran
    Given ledger owners x, y and z with granters a to e
    When these ledger events happen: <events>
    Then the ledger answers to a retry of "k" with <answer>

    Examples: owner and granters are lost
      | events                                                                     | answer      |
      | send k, take-over y x                                                      | replay      |
      | start k, take-over y x                                                     | memory-lost |
      | pass 1, take-over y x                                                      | ran         |
      | cut x abc, send k, heal, take-over y x                                     | ran         |
      | cut x bc, send k, heal, take-over y x                                      | ran         |
      | drop-answers x bc, send k, heal, take-over y x                             | ran         |
      | send k, take-over y x c                                                    | replay      |
      | cut x c, send k, heal, take-over y x a                                     | replay      |
      | cut x c, send k, heal, take-over y x a b                                   | memory-lost |
      | cut x a, send k, heal, take-over y x b c                                   | memory-lost |
      | cut x a, send k, heal, cut y bc, take-over y x                             | memory-lost |
      | cut x a, send k, heal, take-over y x b c, pass 9000, send l, take-over z y | memory-lost |
      | send k, take-over y x, take-over z y                                       | replay      |
      | slow x ab, send k, heal, deliver, take-over y x                            | ran         |
      | slow x ab, send k, heal, send k, deliver, take-over y x                    | replay      |
      | slow x ab, send k, heal, start k, deliver backwards, take-over y x         | memory-lost |
      | send k, cut y abc, take-over y x, heal, take-over z y                      | memory-lost |

    Examples: granters change
      | events                                                                                                                   | answer      |
      | send k, granters x ade, take-over y x                                                                                    | replay      |
      | cut x ade, send k, granters x ade, heal, take-over y x                                                                   | memory-lost |
      | cut x de, send k, granters x ade, heal, send l, send l, take-over y x                                                    | replay      |
      | cut x a, send k, granters x bcd, granters x abd, take-over y x a                                                         | replay      |
      | cut x c, send l, granters x abd, cut x a, send k, cut x e, granters x ace, heal, take-over y x                           | memory-lost |
      | slow x d, granters x bcd, heal, granters x abc, cut x a, send k, cut x ade, granters x ade, heal, deliver, take-over y x | memory-lost |
      | lag x, open k, granters x ade, publish x, follow x, begin, end, take-over y x                                            | ran         |
      | lag c, granters x abd, cut x a, send k, cut x ace, granters x ace, catch-up c snapshot, heal, take-over y x              | memory-lost |

    Examples: shards move
      | events                                                                                    | answer             |
      | send k, move y, move x, take-over z x                                                     | replay             |
      | move y, send k, lag x, move x, take-over z x                                              | memory-lost        |
      | move y, send k, cut x abc, move x, heal, take-over z x                                    | memory-lost        |
      | lag x, move y, send k, move x, catch-up x                                                 | replay             |
      | lag x, move y, send k, move x, catch-up x snapshot                                        | memory-lost        |
      | lag x, move y, send k, move x, publish x                                                  | ledger-unavailable |
      | lag x, move y, send k, move x, publish x, send k, follow x                                | replay             |
      | defer x, move y, move x, move y, pass 9000, send k, move x                                | ledger-unavailable |
      | defer x, move y, move x, lag x, move y, pass 9000, send k, move x, run-jobs x, catch-up x | replay             |
      | send k, lag y, take-over y x, catch-up y snapshot                                         | memory-lost        |
      | send k, move y, lag z, move z, catch-up z                                                 | replay             |

    Examples: members without granters, and members that come back
      | events                                                                | answer      |
      | join l, move l, send k, take-over y l                                 | memory-lost |
      | join l, move l, send k, granters l abc, take-over y l                 | replay      |
      | join l, move l, lag l, granters l abc, send k, take-over y l          | memory-lost |
      | send k, crash a, join a2, take-over y x a                             | replay      |
      | cut x c, send k, heal, crash a b, join a2, join b2, take-over y x a b | memory-lost |

  Scenario Outline: A granter with little capacity evicts only the oldest keys
    Given ledger owners x, y and z with granters a to e with little capacity
    When these ledger events happen: <events>
    Then the ledger answers to a retry of "<key>" with <answer>

    Examples:
      | events                                                                | key | answer      |
      | send k, pass 9, send l, pass 9, send m, pass 9, send n, take-over y x | k   | memory-lost |
      | send k, pass 9, send l, pass 9, send m, pass 9, send n, take-over y x | n   | replay      |
      | send k, pass 9, send l, pass 9, send m, pass 9, take-over y x         | n   | ran         |

  Scenario Outline: Keys that fail to replicate succeed on a retry, even without state changes
    Given ledger owners x, y and z with granters a to e
    When these ledger events happen: <events>
    Then the ledger answers to a retry of "k" with replay

    Examples:
      | events                                                           |
      | cut x abde, granters x ade, heal, send k, send k, take-over y x  |
      | break x, granters x ade, repair x, send k, send k, take-over y x |

  Scenario Outline: A request runs twice if one rule for replicas is broken
    Given ledger replication broken so that <fault>
    And ledger owners x, y and z with granters a to e
    When these ledger events happen: <events>
    Then the ledger runs "k" twice

    Examples:
      | fault                                        | events                                                                                         |
      | a granter of an earlier epoch counts         | cut x c, send l, granters x abd, cut x a, send k, cut x e, granters x ace, heal, take-over y x |
      | requests start with views of other revisions | lag x, move y, send k, move x, publish x                                                       |
      | one granter is enough for a write            | cut x bc, send k, heal, take-over y x a                                                        |
      | a marker under an earlier fence counts       | move y, send k, lag x, move x, take-over z x                                                   |

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
