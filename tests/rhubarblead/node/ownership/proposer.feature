Feature: The next write of a node

  Scenario Outline: A node joins, plans, hands over and leaves
    Given a proposer of s-1 in pool p with 4 shards
    When these proposer events happen: <events>
    Then the node proposes "<proposal>"

    Examples: joining
      | events                             | proposal            |
      | find_proposal                      | nothing             |
      | serve                              | join sharded+joined |
      | serve, drain                       | nothing             |
      | serve, write                       | nothing             |
      | serve, conflict                    | nothing             |
      | serve, conflict, pass 50           | join joined         |
      | serve, in_doubt                    | nothing             |
      | serve, in_doubt, not_done, pass 50 | join sharded+joined |
      | serve, in_doubt, done, plan        | plan moved          |
      | serve, set_tables none             | nothing             |

    Examples: leaving
      | events                                                                        | proposal            |
      | own_shards, stop_serving                                                      | release moved+left  |
      | own_shards, drain                                                             | release moved+left  |
      | own_shards, start_request 0, stop_serving                                     | release moved       |
      | own_shards, start_request 0, stop_serving, write                              | nothing             |
      | own_shards, start_request 0, stop_serving, write, end_requests                | release moved+left  |
      | own_shards, start_request 0, stop_serving, find_proposal, end_requests, serve | release moved+left  |
      | own_shards, start_request 0, stop_serving, write, evict s                     | nothing             |
      | own_shards, start_request 0, stop_serving, write, evict s, serve              | join joined         |
      | own_shards, stop_serving, write                                               | nothing             |
      | own_shards, stop_serving, write, serve                                        | join joined         |
      | own_shards, stop_serving, in_doubt                                            | nothing             |
      | own_shards, stop_serving, in_doubt, done, serve                               | join joined         |
      | own_shards, stop_serving, in_doubt, not_done                                  | release moved+left  |
      | own_shards, stop_serving, conflict                                            | release moved+left  |
      | own_shards, set_tables none                                                   | release moved+left  |
      | own_shards, set_tables q                                                      | release moved+left  |
      | own_shards, set_tables q, write                                               | join sharded+joined |

    Examples: plans
      | events                                                        | proposal      |
      | own_shards, plan                                              | nothing       |
      | own_shards, add_peers, write, plan                            | plan wanted   |
      | own_shards, add_peers, write, plan, write                     | release moved |
      | own_shards, add_peers, write, plan, write, in_doubt           | nothing       |
      | own_shards, add_peers, write, plan, write, in_doubt, not_done | release moved |
      | own_shards, add_peers, write, plan, evict m1                  | nothing       |
      | own_shards, add_peers, write, plan, conflict, plan            | nothing       |
      | own_shards, add_peers, write, plan, conflict, pass 50, plan   | plan wanted   |

    Examples: granters
      | events                                                             | proposal          |
      | add_peers, serve, write                                            | nothing           |
      | add_peers, serve, write, evict_granters 1                          | nothing           |
      | add_peers, serve, write, evict_granters 1, find_proposal, pass 120 | granters granters |
      | add_peers, serve, write, evict_granters 2                          | granters granters |
      | add_peers, serve, write, evict_granters 2, in_doubt, not_done      | granters granters |
      | add_peers, serve, write, evict_granters 2, conflict                | granters granters |
      | add_peers, serve, write, evict_granters 2, write                   | nothing           |
      | add_peers, serve, write, evict_granters 2, write, evict_granters 1 | nothing           |
      | own_shards, add_peers                                              | granters granters |
      | own_shards, add_peers, conflict                                    | nothing           |

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
      | events                                                                  | promised |
      | add_peers, own_shards, become_granter                                   | yes      |
      | add_peers, own_shards, become_granter, stop_serving                     | yes      |
      | add_peers, own_shards, become_granter, stop_serving, in_doubt           | no       |
      | add_peers, own_shards, become_granter, stop_serving, in_doubt, not_done | yes      |
      | add_peers, own_shards, become_granter, stop_serving, conflict           | yes      |
