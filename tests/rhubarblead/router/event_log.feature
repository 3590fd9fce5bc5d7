Feature: Logs are bounded and never delay what they tell of

  Scenario: A standard output that nobody reads delays nothing
    Given a journal whose output is full and read by nobody
    When 5000 events of several kinds are told
    Then all of them were told without waiting
    When the output is read again, and a second later one more event is told
    Then a line says how many were lost
    And the last line is the event

  Scenario: A flood of one event leaves room for the others
    Given a journal
    When 500 answers and then 1 failure are told within a second
    Then the failure has a line
    And 40 answers have a line
    And a second later a line says that 460 were left out

  Scenario: Each line is JSON with the event's number, instance and time
    Given a journal
    When 1 answers and then 1 failure are told within a second
    Then each line names its event, number, instance and time
