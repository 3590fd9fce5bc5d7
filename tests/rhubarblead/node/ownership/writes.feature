Feature: Reads, writes and news of a node are bounded and never stop

  Scenario Outline: One write at a time, and none is forgotten in doubt
    Given the state of a node's writes
    When these write events happen: <events>
    Then the node's writes are <state>

    Examples:
      | events                                        | state   |
      | pass 0                                        | free    |
      | begin                                         | waiting |
      | begin, pass 9000                              | waiting |
      | begin, done                                   | free    |
      | begin, refused                                | waiting |
      | begin, refused, pass 100                      | free    |
      | begin, doubt                                  | waiting |
      | begin, doubt, pass 99                         | waiting |
      | begin, doubt, pass 100                        | asking  |
      | begin, doubt, pass 100, ask                   | waiting |
      | begin, doubt, pass 100, ask, pass 9000        | waiting |
      | begin, doubt, pass 100, ask, doubt, pass 100  | asking  |
      | begin, doubt, pass 100, ask, done             | free    |

  Scenario Outline: Lost writes wait longer each time, and only for their purpose
    Given <count> writes that were lost for plans
    Then the next write for plans waits at most <most> ms
    And the next write for evictions waits at most 0 ms

    Examples:
      | count | most |
      | 0     | 0    |
      | 1     | 50   |
      | 3     | 200  |
      | 7     | 3200 |
      | 50    | 3200 |

  Scenario Outline: A node reads as often as its duty asks
    Given a read schedule with polls every 250 ms
    When a node that is <duty> runs for 10 seconds and hears others <heard>, with reads that take <take> ms
    Then it reads the ownership row <count> times

    Examples:
      | duty      | heard  | take  | count |
      | a poller  | always | 0     | 40    |
      | a poller  | never  | 500   | 20    |
      | no poller | always | 0    | 1     |
      | no poller | never  | 0    | 40    |
      | a poller  | always | 99999 | 1     |

  Scenario Outline: News reaches each member of a failure domain by one poller
    Given 40 members in 2 failure domains with 2 pollers each
    When a member that is <author> commits a move to a member
    Then all members are told, the new owner at once

    Examples:
      | author    |
      | a poller  |
      | no poller |

  Scenario: A wish for a read outlives reads that fail
    Given a read schedule with polls every 250 ms
    When a node that hears others wishes a read, and 2 reads fail
    Then it has begun to read after 0 250 500 ms
