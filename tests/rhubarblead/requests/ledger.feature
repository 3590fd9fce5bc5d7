Feature: An unrepeatable request runs at most once

  Scenario Outline: What a second send of a key gets
    Given a ledger that owns its shard from the beginning
    When the ledger's first send of a key <fate>
    Then the ledger's second send gets "<outcome>" with verdict "<verdict>"

    Examples: fates
      | fate                  | outcome                | verdict      |
      | runs                  | in-progress            | may-have-run |
      | is answered           | replay                 | ran          |
      | is answered at length | replay without a body  | ran          |
      | did not run           | run                    |              |
      | is in doubt           | memory-lost            | may-have-run |
      | is evicted            | memory-lost            | may-have-run |
      | is of another request | idempotency-key-reused | not-run      |
      | expired               | memory-lost            | may-have-run |

  Scenario Outline: Keys out of their time are refused
    Given a ledger that owns its shard from the beginning
    Then the ledger answers the key "<key>" with "<outcome>" and verdict "<verdict>"

    Examples: keys, by their time of issue from now, or as text
      | key                                  | outcome     | verdict      |
      | +0                                   | run         |              |
      | +2000                                | run         |              |
      | +2001                                | malformed   | not-run      |
      | -600000                              | run         |              |
      | -600001                              | memory-lost | may-have-run |
      | hello                                | missing-idempotency-key | not-run |
      | 0190a5d2-7c4e-4000-8000-000000000000 | missing-idempotency-key | not-run |
      | {0190a5d2-7c4e-7000-8000-000000000000} | missing-idempotency-key | not-run |

  Scenario Outline: What a new owner knows
    Given a ledger that owns its shard from the beginning
    When the ledger's first send of a key <fate>
    And another ledger adopts <memory>
    Then the ledger's second send gets "<outcome>" with verdict "<verdict>"

    Examples: takeovers
      | fate                  | memory       | outcome                | verdict      |
      | runs                  | all of it    | memory-lost            | may-have-run |
      | is answered           | all of it    | replay                 | ran          |
      | is in doubt           | all of it    | memory-lost            | may-have-run |
      | is evicted            | all of it    | memory-lost            | may-have-run |
      | is of another request | all of it    | idempotency-key-reused | not-run      |
      | is answered           | none of it   | memory-lost            | may-have-run |
      | did not run           | none of it   | memory-lost            | may-have-run |
      | did not run           | all of it    | run                    |              |

  Scenario Outline: After an incomplete takeover new keys run once the skew has passed
    Given a ledger that owns its shard from the beginning
    When another ledger adopts none of it
    Then the ledger answers the key "<key>" with "<outcome>" and verdict "<verdict>" after 3000 ms

    Examples: keys, by their time of issue from the takeover
      | key   | outcome     | verdict      |
      | +2250 | memory-lost | may-have-run |
      | +2251 | run         |              |

  Scenario: A full ledger of running requests refuses, and forgets nothing
    Given a ledger that owns its shard from the beginning
    When the ledger is full of running requests
    Then the ledger answers the key "+1" with "overloaded" and verdict "not-run"

  Scenario: A shard that wasn't adopted yet runs nothing
    Given a ledger that adopted nothing
    Then the ledger answers the key "+0" with "ledger-unavailable" and verdict "not-run"

  Scenario: A key has one spelling
    Given a ledger that owns its shard from the beginning
    When the ledger's first send of a key is answered
    Then the ledger's second send in capitals gets "missing-idempotency-key" with verdict "not-run"

  Scenario: No key runs twice in any order of sends, crashes, takeovers and evictions
    Then a search over the ledger finds no key that runs twice
