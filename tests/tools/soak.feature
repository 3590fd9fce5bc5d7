Feature: The fault soak finds broken promises, and the router keeps them

  Scenario Outline: The audit names what a run has broken
    Given a run in which <what> happened
    Then the audit finds "<rules>"

    Examples:
      | what                                  | rules    |
      | nothing wrong                         |          |
      | an unsafe request that ran twice      | TWICE    |
      | a safe request that ran twice         |          |
      | an unsafe refusal of what has run     | REFUSED  |
      | a wrong body                          | MIXED    |
      | a run that nobody sent                | UNASKED  |
      | a run with another path               | UNASKED  |
      | a request beyond the slots            | OVERFULL |
      | two holders for 700 ms                | OWNER    |
      | two holders for 300 ms                |          |
      | a holder that was killed before       |          |
      | a hold that had run out before        |          |
      | an older fence at another server      | FENCE    |

  Scenario: A server tells what it holds, releases and refuses
    Given a keyed server that was given 0-99 with fence 3 for 1000 ms
    Then it holds key 50 for 1019 ms and not for 1021 ms
    When it works on key 50 and is given 0-49 with fence 3
    Then it has released nothing yet, and still tells of 50-99
    When it has ended the work on key 50
    Then it has released 50-99 with a token
    When it is given 0-49 with fence 2
    Then it holds nothing

  Scenario Outline: Real processes keep every promise under random faults
    When a story of faults with seed <seed> is played for <length> s
    Then no promise was broken and all keys came back

    Examples: seeds that failed stay, with what they failed by
      | seed | length | failed by                                            |
      | 1    | 6      | nothing                                              |
      | 3    | 8      | a stand-in that recorded holds which had run out     |
