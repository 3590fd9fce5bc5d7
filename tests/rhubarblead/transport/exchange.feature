Feature: Calls between two nodes over real sockets

  Background:
    Given an exchange that calls and an exchange that serves

  Scenario: A call is answered whole
    When the exchange calls "a" with a body of 100000 bytes
    Then the exchange gets "a" back with its body
    And the serving exchange ran 1 call

  Scenario: Two calls of one request are two runs
    When the exchange calls "a" with a body of 10 bytes
    And the exchange calls "b" with a body of 10 bytes
    Then the serving exchange ran 2 calls

  Scenario: A call that arrives twice runs once and is answered twice
    When the exchange calls "a" with a body of 10 bytes
    And the exchange calls "a" with a body of 10 bytes
    Then the exchange gets "a" back with its body
    And the serving exchange ran 1 call

  Scenario: A body that doesn't match its digest is not run
    When the exchange sends "a" with a body that was changed on the way
    Then the exchange is told that "a" may have been received
    And the serving exchange ran 0 calls

  Scenario: A call to nobody ends with its deadline
    When the exchange calls "a" at a port where nobody listens
    Then the exchange is told that "a" may have been received

  Scenario: A lost peer ends its calls before their deadline
    When the exchange calls "slow" and the peer is declared lost
    Then the exchange is told that "slow" may have been received

  Scenario: A call beyond those that may be in progress is refused at once
    When the exchange calls "slow" 3 times at once, then "a"
    Then the exchange gets "a" refused as overloaded

  Scenario: A call after the end has its outcome at once
    When the exchange has ended and is asked to call "a"
    Then the exchange is told that "a" was not sent
