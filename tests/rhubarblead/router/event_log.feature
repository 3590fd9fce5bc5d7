Feature: Logging is rate-limited and never blocks

  Scenario: Emitting events doesn't block if standard output isn't read
    Given an event log whose output pipe is full and unread
    When 5000 events of several kinds are emitted
    Then all of them were emitted without blocking
    When the output is drained and one more event is emitted a second later
    Then a line reports how many were lost
    And the last line is the emitted event

  Scenario: Frequent events don't suppress other events
    Given an event log
    When 500 answers and then 1 failure are emitted in a second
    Then the failure is logged
    And 40 answers are logged
    And a second later a line reports that 460 were dropped

  Scenario: Each line is JSON with the event's number, instance and time
    Given an event log
    When 1 answers and then 1 failure are emitted in a second
    Then each line contains its event, number, instance and time
