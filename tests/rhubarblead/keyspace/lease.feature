Feature: A node's lease has ended before others take its keys

  Scenario Outline: The lease ends by an upper bound of the store's time
    Given a lease renewed at <sent> ms with an answer of store time <store>
    Then at <now> ms <left> ms of it are left

    Examples: a lease lasts 13,000 ms from when its renewal was sent
      | sent | store  | now   | left  |
      | 0    | 50000  | 0     | 13000 |
      | 0    | 50000  | 1000  | 11998 |
      | 0    | 50000  | 12900 | 75    |
      | 0    | 50000  | 13000 | 0     |
      | 0    | 50000  | 90000 | 0     |

  Scenario Outline: Others wait for the end that the row names, and a margin
    Then a lease that ends at store time <ends> is <state> at <store>

    Examples:
      | ends  | store | state |
      | 13000 | 12999 | held  |
      | 13000 | 13000 | held  |
      | 13000 | 13249 | held  |
      | 13000 | 13250 | over  |

  Scenario: Whatever the clocks do within their bounds, two never hold at once
    Then in 2000 random lives with seed 5 no taker was early

  Scenario: A lease without the store's time has ended
    Given a lease that was never renewed
    Then at 100 ms 0 ms of it are left

  Scenario Outline: A restarted process names no earlier end than the one before
    Given a lease whose earlier process named the end 60000
    When the store's time is <known>
    Then a renewal at 100 ms names <ends>
    And at 100 ms 0 ms of it are left

    Examples: the first write of a process is sent before any answer of the store
      | known   | ends  |
      | unknown | 60000 |
      | 40000   | 60000 |
      | 50000   | 63102 |

  Scenario Outline: A renewal is due when 9 s of the lease are left
    Given a lease whose earlier process named the end <ends>
    When the store's time is 50000
    And a renewal is sent at 0 ms that names <ends>
    Then the next renewal is due at <due> ms

    Examples:
      | ends  | due  |
      | 63001 | 4000 |
      | 62001 | 3000 |
      | 59001 | 0    |
      | 52000 | 0    |
