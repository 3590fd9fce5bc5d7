Feature: The store adapter works with the stand-in of the platform's store

  Background:
    Given the platform's store

  Scenario: A row is written only if it has the expected revision
    When row "a" gets "one", expected absent
    Then the write is applied
    When row "a" gets "two", expected absent
    Then the write fails with a conflict that shows "one"
    When row "a" gets "two", expected as last seen
    Then the write is applied
    And the rows read as "a=two"

  Scenario: A transaction is atomic
    When row "a" gets "one", expected absent
    And rows "b" and "c" get "x", with "a" expected absent
    Then the write fails with a conflict that shows "one"
    And the rows read as "a=one"

  Scenario: Rows are read in pages, ordered by key
    When 620 rows are written
    Then all 620 rows are read in two pages

  Scenario: Changes are listed in order, with removed rows marked
    When row "a" gets "one", expected absent
    And row "b" gets "two", expected absent
    And row "a" is removed
    Then the changes since the start are "a=one b=two a removed"

  Scenario: A long poll ends with the next change
    When a long poll for changes begins
    And row "a" gets "one", expected absent
    Then the long poll returns "a=one"

  Scenario: Changes that the store has discarded are reported as gone
    When row "a" gets "one", expected absent
    And the store discards its history
    Then the changes since the start are gone
    And the rows read as "a=one"

  Scenario: A write to the operator's table is refused
    When a row of the operator's table is written
    Then the write is in doubt for "status 403"

  Scenario: A write that the store refuses is not done
    When the store refuses all calls
    And row "a" gets "one", expected absent
    Then the write was not done for "status 503"

  Scenario: A delayed write fails if the row has changed since
    When the store delays the next write
    And row "a" gets "late", expected absent, without an answer
    And row "a" gets "one", expected absent
    And the delayed write arrives
    Then the rows read as "a=one"

  Scenario: A delayed write takes effect if the row has not changed
    When the store delays the next write
    And row "a" gets "late", expected absent, without an answer
    Then the rows read as ""
    When the delayed write arrives
    Then the rows read as "a=late"

  Scenario: Objects are stored, listed and deleted
    When object "x/1" is put with "one"
    And object "x/1" is put again with "two" and refused
    Then the objects under "x/" are "x/1"
    And object "x/1" reads as "one"
    When object "x/1" is deleted
    Then the objects under "x/" are ""
