Feature: Requests that a node runs at its local server

  Scenario: A request for a key of another server is refused at once
    Given a node whose server is assigned keys 0-99 and holds 0-49
    When a request for key 100 arrives
    Then it is refused with NOT_OWNER as not run

  Scenario: A request waits for a key in handover, and is refused when the key moves on
    Given a node whose server is assigned keys 0-99 and holds 0-49
    When a request for key 60 arrives
    Then it waits
    When the server is assigned keys 0-49 only
    Then it is refused with NOT_OWNER as not run

  Scenario: The waiting requests of a leaving server are refused as not run
    Given a node whose server is assigned keys 0-99 and holds 0-49
    When a request for key 60 arrives
    And the server leaves
    Then it is refused with LEAVING as not run

  Scenario: A request is not run when the server refuses the connection
    Given a node whose server is assigned keys 0-99 and holds 0-49
    When a request for key 10 arrives
    Then it is refused with SERVER_GONE as not run

  Scenario: Many requests that wait for keys need few lookups when they expire
    Given a node whose server is assigned keys 0-99 and holds 0-49
    When 300 requests for key 60 arrive
    Then 246 of them are refused with OVERLOADED as not run
    And fewer than 900 key lookups were made
    When their deadline passes
    Then 54 of them are refused with TOO_LATE as not run
    And fewer than 900 key lookups were made

  Scenario: A request for a held key needs few lookups while others wait
    Given a node whose server is assigned keys 0-99 and holds 0-49
    When 300 requests for key 60 arrive
    And the count of key lookups is reset
    And a request for key 10 arrives
    Then fewer than 120 key lookups were made
