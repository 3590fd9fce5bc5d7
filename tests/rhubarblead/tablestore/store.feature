Feature: The store client reports whether a call took effect

  Background:
    Given a platform stand-in
    And a store for instance "dispatch-1" with a timeout of 300 ms

  Scenario Outline: A read fails while the platform is failing
    Given the store has committed "1" to row "colours"
    And the platform's mode is <mode>
    When the store reads row "colours"
    Then the store answers "<answer>"

    Examples: modes
      | mode                                                      | answer      |
      | {"mode": "up"}                                            | Row 1 1     |
      | {"mode": "down"}                                          | Unavailable |
      | {"mode": "down", "count": 1}                              | Unavailable |
      | {"mode": "slow", "delay_ms": 700, "count": 1}             | Unavailable |
      | {"mode": "answer-lost"}                                   | Row 1 1     |
      | {"mode": "down", "instances": ["dispatch-2"]}             | Row 1 1     |
      | {"mode": "down", "instances": ["dispatch-1"]}             | Unavailable |

  Scenario Outline: A commit that fails after it was sent is in doubt
    Given the platform's mode is <mode>
    When the store commits "1" to row "colours" at revision 0
    Then the store answers "<answer>"
    And within 2000 ms the row "colours" has revision <revision>

    Examples: modes
      | mode                                          | answer      | revision |
      | {"mode": "up"}                                | Committed 1 | 1        |
      | {"mode": "down"}                              | InDoubt     | 0        |
      | {"mode": "slow", "delay_ms": 700, "count": 1} | InDoubt     | 1        |
      | {"mode": "answer-lost", "count": 1}           | InDoubt     | 1        |

  Scenario Outline: A refused commit has no effect
    Given the store has committed "1" to row "colours"
    And the platform's budget is <budget>
    When the store commits "2" to row "colours" at revision <expected>
    Then the store answers "<answer>"

    Examples: refusals
      | budget                | expected | answer       |
      | {}                    | 1        | Committed 2  |
      | {}                    | 0        | Conflict 1 1 |
      | {}                    | 2        | Conflict 1 1 |
      | {"writes_per_s": 0}   | 1        | TooBusy      |

  Scenario: A commit fails if nothing listens at the platform's address
    Given a store for an address where nothing listens
    When the store commits "1" to row "colours" at revision 0
    Then the store answers "Unavailable"

  Scenario: A transaction is atomic
    Given the store has committed "1" to row "colours"
    When the store commits "7" to rows "shapes,colours" at revision 0
    Then the store answers "Conflict 0 null, 1 1"
    And within 0 ms the row "shapes" has revision 0

  Scenario Outline: A read distinguishes known rows from absent ones
    Given the store has committed "1" to row "colours"
    When the store reads row "<row>" knowing revision <known>
    Then the store answers "<answer>"

    Examples: rows
      | row     | known | answer      |
      | colours | 1     | NotModified |
      | colours | 0     | Row 1 1     |
      | shapes  | 0     | Row 0 null  |

  Scenario: A call over the budget is distinguished from an outage
    Given the platform's budget is {"reads_per_s": 0}
    When the store reads row "colours"
    Then the store answers "TooBusy"

  Scenario: An object is read as it was written
    Given an object with the content "blue"
    When the store reads the object
    Then the store answers "blue"

  Scenario: An object that was altered is refused
    Given an object whose content "blue" reads as "blve"
    When the store reads the object
    Then the store answers "Corrupt"

  Scenario: An object that is missing is refused
    Given the digest of an object that was never written
    When the store reads the object
    Then the store answers "Corrupt"

  Scenario: An idle connection that the service closed is replaced
    Given the store has read row "colours"
    And the platform's mode is {"mode": "down", "count": 1}
    When the store reads row "colours"
    Then the store answers "Row 0 null"

  Scenario: A connection that timed out is not reused
    Given the store has read row "colours"
    And the platform's mode is {"mode": "slow", "delay_ms": 700, "count": 1}
    When the store reads row "colours" twice
    Then the store answers "Row 0 null"
