Feature: Reads, writes and updates of a node are limited but never stop

  Scenario Outline: One write at a time, and writes in doubt are queried until resolved
    Given the state of a node's writes
    When these write events happen: <events>
    Then the node's writes are <state>

    Examples:
      | events                                               | state           |
      | pass 0                                               | free            |
      | begin                                                | waiting         |
      | begin, pass 9000                                     | waiting         |
      | begin, done                                          | free            |
      | begin, refused                                       | waiting         |
      | begin, refused, pass 100                             | free            |
      | begin, in_doubt                                      | waiting         |
      | begin, in_doubt, pass 99                             | waiting         |
      | begin, in_doubt, pass 100                            | due for a query |
      | begin, in_doubt, pass 100, query                     | waiting         |
      | begin, in_doubt, pass 100, query, pass 9000          | waiting         |
      | begin, in_doubt, pass 100, query, in_doubt, pass 100 | due for a query |
      | begin, in_doubt, pass 100, query, done               | free            |

  Scenario Outline: Conflicts delay later writes for the same purpose, longer each time
    Given <count> write conflicts for plans
    Then the next write for plans waits at most <most> ms
    And the next write for evictions waits at most 0 ms

    Examples:
      | count | most |
      | 0     | 0    |
      | 1     | 50   |
      | 3     | 200  |
      | 7     | 3200 |
      | 50    | 3200 |

  Scenario Outline: The count of reads depends on the role of a node and its contacts
    Given a read schedule with polls every 250 ms
    When a node that is <role> runs for 10 seconds and has contact <contact>, with reads that take <take> ms
    Then it reads the ownership row <count> times

    Examples:
      | role      | contact | take  | count |
      | a poller  | always  | 0     | 40    |
      | a poller  | never   | 500   | 20    |
      | no poller | always  | 0     | 1     |
      | no poller | never   | 0     | 40    |
      | a poller  | always  | 99999 | 1     |

  Scenario Outline: An update reaches each member through one poller of its failure domain
    Given 40 members in 2 failure domains with 2 pollers each
    When a member that is <author> commits a move to a member
    Then all members receive it, the new owner from the author

    Examples:
      | author    |
      | a poller  |
      | no poller |

  Scenario: A requested read is retried until one succeeds
    Given a read schedule with polls every 250 ms
    When a node with contact requests a read, and 2 reads fail
    Then its reads start after 0 250 500 ms
