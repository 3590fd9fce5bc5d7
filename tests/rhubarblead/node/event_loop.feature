Feature: The event loop of the HTTP server

  Background:
    Given an event loop that serves on a loopback port

  Scenario: Requests over a persistent connection are answered
    When a caller sends the event loop 50 requests over one connection
    Then the event loop has answered each request of the caller

  Scenario: Pipelined requests are answered in order
    When a caller pipelines 5 requests to the event loop
    Then the event loop has answered each request of the caller

  Scenario: A slow reader receives a large response completely
    When a caller is slow to read a response of 8000000 bytes from the event loop
    Then the caller of the event loop has received 8000000 bytes

  Scenario: Idle connections don't block other connections
    Given 200 idle connections to the event loop
    When a caller sends the event loop 5 requests over one connection
    Then the event loop has answered each request of the caller

  Scenario: A caller disconnects before its response
    When a caller of the event loop disconnects during its request
    And a caller sends the event loop 5 requests over one connection
    Then the event loop has answered each request of the caller
    And the event loop has 1 open connections

  Scenario: A connection is closed after the idle timeout
    Given 1 idle connections to the event loop
    When the connections of the event loop exceed the idle timeout
    Then the idle connection to the event loop is closed

  Scenario: A request that is not valid HTTP is refused with a verdict
    When a caller sends the event loop "GARBAGE"
    Then the event loop answers with status 400 and verdict "not-run"

  Scenario: Closing after responses answers callers that are still connected
    Given 1 idle connections to the event loop
    When the event loop closes after responses
    And a caller sends the event loop a request over its idle connection
    Then the response tells the caller that the connection closes
    And the event loop has 0 open connections
    And the event loop refuses a new connection
