Feature: Calls between two nodes over real sockets

  Background:
    Given an exchange that calls and an exchange that serves

  Scenario: A call is answered with its complete body
    When the exchange calls "a" with a body of 100000 bytes
    Then the exchange gets "a" back with its body
    And the serving exchange ran 1 call

  Scenario: Two calls of one request run separately
    When the exchange calls "a" with a body of 10 bytes
    And the exchange calls "b" with a body of 10 bytes
    Then the serving exchange ran 2 calls

  Scenario: A call that arrives twice runs once and is answered twice
    When the exchange calls "a" with a body of 10 bytes
    And the exchange calls "a" with a body of 10 bytes
    Then the exchange gets "a" back with its body
    And the serving exchange ran 1 call

  Scenario: A call whose body doesn't match its digest is not run
    When the exchange sends "a" with a body that was changed in transit
    Then the exchange reports that "a" may have been received
    And the serving exchange ran 0 calls

  Scenario: A call to an address without a listener ends at its deadline
    When the exchange calls "a" at a port without a listener
    Then the exchange reports that "a" may have been received

  Scenario: The calls to a lost peer end before their deadline
    When the exchange calls "slow" and the peer is declared lost
    Then the exchange reports that "slow" may have been received

  Scenario: A call over the limit of calls in progress is refused at once
    When the exchange calls "slow" 3 times at once, then "a"
    Then the exchange gets "a" refused as overloaded

  Scenario: A call to a stopped exchange ends at once
    When the exchange has stopped and is asked to call "a"
    Then the exchange reports that "a" was not sent
