Feature: A granter takes a node's keys only after the node's right has ended

  Scenario Outline: The right of a node by what it has sent and heard
    Given a node with a granter and a lease of 13000 ms
    When the story of promises is "<story>"
    Then the node's right lasts <right> ms
    And the granter <takes>

    Examples: h a heartbeat that arrives and is answered, l one whose answer is lost, x one that is lost, + ms, u the node asks to be released, k the granter restarts
      | story              | right | takes           |
      |                    | 13000 | takes nothing   |
      | h                  | 13000 | takes nothing   |
      | h +400 h           | 3400  | takes nothing   |
      | h +400 h +3000     | 400   | takes nothing   |
      | h +400 h +3399     | 1     | takes nothing   |
      | h +400 h +3400     | 0     | takes nothing   |
      | h +400 h +3556     | 0     | takes nothing   |
      | h +400 h +3557     | 0     | takes the keys  |
      | h +400 l +400 l    | 2600  | takes nothing   |
      | h +400 x           | 3000  | takes nothing   |
      | h +400 x +3600     | 0     | takes nothing   |
      | h +400 h u         | 13000 | takes nothing   |
      | h +400 h u +9000   | 3600  | takes nothing   |
      | h +400 h k +3600   | 0     | takes nothing   |

  Scenario: Nothing is promised again once the keys may be taken
    Given a node with a granter and a lease of 13000 ms
    When the story of promises is "h +400 h +3600 t h +100 h"
    Then the node's right lasts 0 ms

  Scenario: A node whose granter is silent chooses another
    Given a node with a granter and a lease of 13000 ms
    When the story of promises is "h +400 h +1200"
    Then the node keeps its granter
    When the story of promises is "+200"
    Then the node needs another granter

  Scenario: With any delays and losses, nobody takes keys while they are held
    Then in 3000 random stories with seed 9 no granter was early
