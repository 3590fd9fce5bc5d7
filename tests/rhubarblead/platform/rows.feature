Feature: The adapter and the stand-in of the platform's store understand each other

  Background:
    Given the platform's store

  Scenario: A row is written under the condition that it is as expected
    When row "a" gets "one", expected absent
    Then the write is applied
    When row "a" gets "two", expected absent
    Then the write meets a conflict that shows "one"
    When row "a" gets "two", expected as last seen
    Then the write is applied
    And the rows read as "a=two"

  Scenario: A transaction applies whole or not at all
    When row "a" gets "one", expected absent
    And rows "b" and "c" get "x", with "a" expected absent
    Then the write meets a conflict that shows "one"
    And the rows read as "a=one"

  Scenario: Rows are read in the order of their keys, page by page
    When 620 rows are written
    Then all 620 rows are read in two pages

  Scenario: Changes are told in order, and removed rows marked
    When row "a" gets "one", expected absent
    And row "b" gets "two", expected absent
    And row "a" is removed
    Then the changes since the start are "a=one b=two a removed"

  Scenario: A wait for changes ends with the next one
    When a wait for changes begins
    And row "a" gets "one", expected absent
    Then the wait ends with "a=one"

  Scenario: A history that is forgotten is said to be gone
    When row "a" gets "one", expected absent
    And the store forgets its history
    Then the changes since the start are gone
    And the rows read as "a=one"

  Scenario: What only the operator may write is refused
    When a row of the operator's table is written
    Then the write is in doubt for "status 403"

  Scenario: A store that is not there has done nothing
    When the store refuses all calls
    And row "a" gets "one", expected absent
    Then the write was not done for "status 503"

  Scenario: A late write fails when its condition no longer holds
    When the store holds the next write up
    And row "a" gets "late", expected absent, without an answer
    And row "a" gets "one", expected absent
    And the write that was held up arrives
    Then the rows read as "a=one"

  Scenario: A late write takes effect when its condition still holds
    When the store holds the next write up
    And row "a" gets "late", expected absent, without an answer
    Then the rows read as ""
    When the write that was held up arrives
    Then the rows read as "a=late"

  Scenario: Raw objects are kept, listed and dropped
    When object "x/1" is put with "one"
    And object "x/1" is put anew with "two"
    Then the objects under "x/" are "x/1"
    And object "x/1" reads as "one"
    When object "x/1" is dropped
    Then the objects under "x/" are ""
