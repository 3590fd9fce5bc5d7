Feature: Calls to peers survive dead connections

  Scenario Outline: A call without a reply is resent or given up
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at <deadline> ms
    When the call table receives "<received>" and is polled at <at> ms
    Then the call table sends "<resent>" again and gives up "<given_up>"

    Examples:
      | received   | at   | deadline | resent | given_up |
      | nothing    | 99   | 2000     |        |          |
      | nothing    | 100  | 2000     | a      |          |
      | ack at 50  | 200  | 2000     |        |          |
      | ack at 50  | 449  | 2000     |        |          |
      | ack at 50  | 450  | 2000     | a      |          |
      | nothing    | 2000 | 2000     |        | a        |
      | ack at 50  | 2000 | 2000     |        | a        |

  Scenario: A call that is never acknowledged is given up
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at 9000 ms
    When the call table is polled every 10 ms until 2000 ms
    Then the call table has sent "a" 3 times and given it up

  Scenario: The calls to a lost peer end at once, and others continue
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at 9000 ms
    And a call "b" to peer "2" at 0 ms with its deadline at 9000 ms
    When the call table drops peer "1"
    Then the call table gives up "a" as possibly received
    And the call table has 1 call left

  Scenario: A reply over another peer's link is ignored
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at 9000 ms
    When the call table gets a reply to "a" from peer "2"
    Then the call table has 1 call left
