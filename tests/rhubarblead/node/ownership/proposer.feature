Feature: The next write of a node

  Scenario Outline: A node joins, plans, hands over and leaves
    Given a proposer of s-1 in pool p with 4 shards
    When these proposer events happen: <events>
    Then the node proposes "<proposal>"

    Examples: joining
      | events                       | proposal            |
      | ask                          | nothing             |
      | serve                        | join sharded+joined |
      | serve, drain                 | nothing             |
      | serve, write                 | nothing             |
      | serve, conflict              | nothing             |
      | serve, conflict, pass 50     | join joined         |
      | serve, doubt                 | nothing             |
      | serve, doubt, fails, pass 50 | join sharded+joined |
      | serve, doubt, commits, plan  | plan moved          |
      | serve, tables none           | nothing             |

    Examples: leaving
      | events                                    | proposal            |
      | own, fail                                 | release moved+left  |
      | own, drain                                | release moved+left  |
      | own, enter 0, fail                        | release moved       |
      | own, enter 0, fail, write                 | nothing             |
      | own, enter 0, fail, write, exit           | release moved+left  |
      | own, enter 0, fail, ask, exit, serve      | release moved+left  |
      | own, enter 0, fail, write, evict s        | nothing             |
      | own, enter 0, fail, write, evict s, serve | join joined         |
      | own, fail, write                          | nothing             |
      | own, fail, write, serve                   | join joined         |
      | own, fail, doubt                          | nothing             |
      | own, fail, doubt, commits, serve          | join joined         |
      | own, fail, doubt, fails                   | release moved+left  |
      | own, fail, conflict                       | release moved+left  |
      | own, tables none                          | release moved+left  |
      | own, tables q                             | release moved+left  |
      | own, tables q, write                      | join sharded+joined |

    Examples: plans
      | events                                           | proposal      |
      | own, plan                                        | nothing       |
      | own, peers, write, plan                          | plan wanted   |
      | own, peers, write, plan, write                   | release moved |
      | own, peers, write, plan, write, doubt            | nothing       |
      | own, peers, write, plan, write, doubt, fails     | release moved |
      | own, peers, write, plan, evict m1                | nothing       |
      | own, peers, write, plan, conflict, plan          | nothing       |
      | own, peers, write, plan, conflict, pass 50, plan | plan wanted   |

    Examples: granters
      | events                                                         | proposal          |
      | peers, serve, write                                            | nothing           |
      | peers, serve, write, evict_granters 1                          | nothing           |
      | peers, serve, write, evict_granters 1, ask, pass 120           | granters granters |
      | peers, serve, write, evict_granters 2                          | granters granters |
      | peers, serve, write, evict_granters 2, doubt, fails            | granters granters |
      | peers, serve, write, evict_granters 2, conflict                | granters granters |
      | peers, serve, write, evict_granters 2, write                   | nothing           |
      | peers, serve, write, evict_granters 2, write, evict_granters 1 | nothing           |
      | own, peers                                                     | granters granters |
      | own, peers, conflict                                           | nothing           |

  Scenario Outline: Members that lose a granter at once spread their writes over time
    Given members of a system of <members> that each lost one granter
    Then the first changes its granters after at least <first> ms
    And the last changes its granters after <from> to <to> ms

    Examples:
      | members | first | from  | to    |
      | 13      | 0     | 100   | 260   |
      | 1800    | 0     | 30000 | 36000 |

  Scenario Outline: A member that has proposed to leave grants no promises
    Given a proposer of s-1 in pool p with 4 shards
    When these proposer events happen: <events>
    Then the member promises a heartbeat: <promised>

    Examples:
      | events                                | promised |
      | peers, own, grant                     | yes      |
      | peers, own, grant, fail               | yes      |
      | peers, own, grant, fail, doubt        | no       |
      | peers, own, grant, fail, doubt, fails | yes      |
      | peers, own, grant, fail, conflict     | yes      |
