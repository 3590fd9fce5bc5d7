Feature: Calls to peers survive silent connections

  Scenario Outline: What becomes of a call without an answer
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at <deadline> ms
    When the call table hears "<heard>" and is asked at <at> ms
    Then the call table sends "<resent>" again and gives up "<given_up>"

    Examples:
      | heard      | at   | deadline | resent | given_up |
      | nothing    | 99   | 2000     |        |          |
      | nothing    | 100  | 2000     | a      |          |
      | ack at 50  | 200  | 2000     |        |          |
      | ack at 50  | 449  | 2000     |        |          |
      | ack at 50  | 450  | 2000     | a      |          |
      | nothing    | 2000 | 2000     |        | a        |
      | ack at 50  | 2000 | 2000     |        | a        |

  Scenario: A peer that never acknowledges is given up
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at 9000 ms
    When the call table is asked every 10 ms until 2000 ms
    Then the call table has sent "a" 3 times and given it up

  Scenario: The calls to a lost peer end at once, the others go on
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at 9000 ms
    And a call "b" to peer "2" at 0 ms with its deadline at 9000 ms
    When the call table drops peer "1"
    Then the call table gives up "a" as possibly received
    And the call table has 1 call left

  Scenario: An answer that comes over another peer's link is not taken
    Given a call table with an acknowledgement timeout of 100 ms
    And a call "a" to peer "1" at 0 ms with its deadline at 9000 ms
    When the call table gets an answer to "a" from peer "2"
    Then the call table has 1 call left
