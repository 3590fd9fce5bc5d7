Feature: An unrepeatable request runs at most once

  Scenario Outline: Outcome of a second send of a key
    Given a ledger that owns its shard from the beginning
    When the ledger's first send of a key <first_send>
    Then the ledger's second send gets "<outcome>" with verdict "<verdict>"

    Examples: first sends
      | first_send            | outcome                | verdict      |
      | runs                  | in-progress            | may-have-run |
      | is answered           | replay                 | ran          |
      | gets a large answer   | replay without a body  | ran          |
      | did not run           | run                    |              |
      | is in doubt           | memory-lost            | may-have-run |
      | is evicted            | memory-lost            | may-have-run |
      | is of another request | idempotency-key-reused | not-run      |
      | expired               | memory-lost            | may-have-run |

  Scenario Outline: Keys that are too old, in the future or malformed are refused
    Given a ledger that owns its shard from the beginning
    Then the ledger answers the key "<key>" with "<outcome>" and verdict "<verdict>"

    Examples: keys, by their issue time relative to now in ms, or as text
      | key                                  | outcome     | verdict      |
      | +0                                   | run         |              |
      | +2000                                | run         |              |
      | +2001                                | malformed   | not-run      |
      | -600000                              | run         |              |
      | -600001                              | memory-lost | may-have-run |
      | hello                                | missing-idempotency-key | not-run |
      | 0190a5d2-7c4e-4000-8000-000000000000 | missing-idempotency-key | not-run |
      | {0190a5d2-7c4e-7000-8000-000000000000} | missing-idempotency-key | not-run |

  Scenario Outline: Outcome of a second send after a takeover
    Given a ledger that owns its shard from the beginning
    When the ledger's first send of a key <first_send>
    And another ledger adopts <entries>
    Then the ledger's second send gets "<outcome>" with verdict "<verdict>"

    Examples: takeovers
      | first_send            | entries      | outcome                | verdict      |
      | runs                  | all entries  | memory-lost            | may-have-run |
      | is answered           | all entries  | replay                 | ran          |
      | is in doubt           | all entries  | memory-lost            | may-have-run |
      | is evicted            | all entries  | memory-lost            | may-have-run |
      | is of another request | all entries  | idempotency-key-reused | not-run      |
      | is answered           | no entries   | memory-lost            | may-have-run |
      | did not run           | no entries   | memory-lost            | may-have-run |
      | did not run           | all entries  | run                    |              |

  Scenario Outline: After an incomplete takeover, keys run again once the clock skew has passed
    Given a ledger that owns its shard from the beginning
    When another ledger adopts no entries
    Then the ledger answers the key "<key>" with "<outcome>" and verdict "<verdict>" after 3000 ms

    Examples: keys, by their issue time relative to the takeover in ms
      | key   | outcome     | verdict      |
      | +2250 | memory-lost | may-have-run |
      | +2251 | run         |              |

  Scenario: A ledger full of running requests refuses new ones and evicts nothing
    Given a ledger that owns its shard from the beginning
    When the ledger is full of running requests
    Then the ledger answers the key "+1" with "overloaded" and verdict "not-run"

  Scenario: A shard that has not been adopted runs no request
    Given a ledger that adopted nothing
    Then the ledger answers the key "+0" with "ledger-unavailable" and verdict "not-run"

  Scenario: Only the canonical form of a key is accepted
    Given a ledger that owns its shard from the beginning
    When the ledger's first send of a key is answered
    Then the ledger's second send in upper case gets "missing-idempotency-key" with verdict "not-run"

  Scenario: No key runs twice under random sends, crashes, takeovers and evictions
    Then a stateful search over the ledger finds no key that runs twice
