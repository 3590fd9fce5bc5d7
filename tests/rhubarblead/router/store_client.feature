Feature: The client of the store tells its eras apart

  Background:
    Given a client of a store in era 1 that has written row "a"

  Scenario: A write that expects a revision of another era isn't sent
    When the store comes back from a copy
    And the client reads
    And it writes row "a" as it has last seen it
    Then the write was not done for "a revision of another era"

  Scenario: A write that was sent before the restore was known is in doubt
    When the store comes back from a copy
    And it writes row "a" as it has last seen it
    Then the write is in doubt for "the store was restored"
    And the client knows era 2

  Scenario: A revision that is given out again isn't taken for the earlier one
    When the store comes back from a copy
    And the client reads
    And it writes row "a" as new
    Then the write is applied with the number of the lost one, and is newer

  Scenario: A feed from a revision that was lost is gone
    When the store comes back from a copy
    Then the changes since the lost revision are gone

  Scenario Outline: An answer without a valid era is discarded, and logged once
    When the store's era reads "<era>"
    And the client reads twice
    Then nothing was read, and one event was logged
    And the client knows era 1

    Examples:
      | era |
      | 0   |
      | x   |
      | -1  |
