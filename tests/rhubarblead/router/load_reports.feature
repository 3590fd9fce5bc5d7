Feature: Nodes report their load when it has changed

  # 195 nodes at rest told each other every 1.5 s that nothing had changed.
  Scenario Outline: A report is sent if other nodes would decide differently by it
    Given a load report with "<previous>"
    When the load is "<now>"
    Then a report <is> worth sending

    Examples: times in ms, load per mille; a wait is reported while there is one
      | previous                              | now                                   | is     |
      | load_per_mille=300 capacity_per_s=80  | load_per_mille=300 capacity_per_s=80  | is not |
      | load_per_mille=300 capacity_per_s=80  | load_per_mille=340 capacity_per_s=80  | is not |
      | load_per_mille=300 capacity_per_s=80  | load_per_mille=400 capacity_per_s=80  | is     |
      | load_per_mille=900 capacity_per_s=80  | load_per_mille=1050 capacity_per_s=80 | is not |
      | load_per_mille=300 capacity_per_s=80  | load_per_mille=300 capacity_per_s=60  | is     |
      | wait_ms=0                             | wait_ms=40                            | is     |
      | wait_ms=40                            | wait_ms=40                            | is     |
      | wait_ms=40                            | wait_ms=0                             | is     |
      | call_wait_ms=0                        | call_wait_ms=5                        | is     |
      | link_backlog_ms=0                     | link_backlog_ms=5                     | is     |
      | config_version=3                      | config_version=4                      | is     |
      | has_store=1                           | has_store=0                           | is     |
      | r1=200                                | r1=230                                | is not |
      | r1=200                                | r1=260                                | is     |
      | r1=20                                 | r1=30                                 | is not |
      | r1=200                                | r2=200                                | is     |

  Scenario Outline: All nodes hear of it when runs make other nested calls
    Given runs were reported to make "<previous>" calls
    When they make "<now>" calls
    Then that <is> worth telling all nodes

    Examples: calls per run by service
      | previous | now       | is     |
      |          | s=0.1     | is not |
      |          | s=0.7     | is     |
      | s=0.7    | s=0.8     | is not |
      | s=0.7    | s=1.4     | is     |
      | s=0.7    | s=0.7 t=1 | is     |

  # A hot key was known after 1.5 s, and moved 2 to 3 s after it had begun.
  Scenario Outline: A changed load is told to those that may take keys within 0.5 s
    Given a node of a <kind> service with <count> other nodes, and one of another
    When its load changes and 0.6 s pass
    Then <told> nodes were told of it

    Examples: of services without keys, and among many nodes, each 1.5 s
      | kind    | count | told |
      | keyed   | 2     | 2    |
      | keyed   | 41    | 0    |
      | unkeyed | 2     | 0    |

  Scenario: Each node is heard of before it counts as gone
    Then the longest interval between two reports to all nodes is shorter than 8000 ms
