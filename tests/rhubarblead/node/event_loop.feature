Feature: The event loop serves callers' connections

  Background:
    Given an event loop that serves on a loopback port

  Scenario: One connection asks again and again
    When a caller asks the event loop 50 times over one connection
    Then the event loop has answered each request of the caller

  Scenario: A caller sends requests without waiting for answers
    When a caller sends the event loop 5 requests at once
    Then the event loop has answered each request of the caller

  Scenario: A slow caller gets a large answer whole
    When a caller reads an answer of 8000000 bytes from the event loop late
    Then the caller has got 8000000 bytes

  Scenario: Idle connections don't keep others from being served
    Given 200 idle connections to the event loop
    When a caller asks the event loop 5 times over one connection
    Then the event loop has answered each request of the caller

  Scenario: A caller that goes away before its answer does no harm
    When a caller of the event loop goes away during its request
    And a caller asks the event loop 5 times over one connection
    Then the event loop has answered each request of the caller
    And the event loop has 1 connection left

  Scenario: A connection that was idle for too long is closed
    Given 1 idle connections to the event loop
    When the event loop finds its connections idle for too long
    Then the idle connection to the event loop is closed

  Scenario: A request that is no HTTP is refused with its verdict
    When a caller sends the event loop "GARBAGE"
    Then the event loop answers with status 400 and verdict "not-run"

  Scenario: A loop that closes gently answers those that are connected
    Given 1 idle connections to the event loop
    When the event loop closes gently
    And a caller asks the event loop over its idle connection
    Then the caller is told that this was the last answer
    And the event loop has 0 connection left
    And a new caller is not connected by the event loop
