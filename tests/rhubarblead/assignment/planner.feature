Feature: Shard plans move no more shards than needed

  Scenario Outline: The shards of lost members are spread over the remaining members
    Given an assignment plan of <shards> shards over <servers> servers in <domains> failure domains
    When the assignment loses <lost>
    Then <moved> shards get an owner
    And no server of the plan has more than <most> shards
    And the plan moved no shard of the remaining servers
    And the moved shards are spread over at least <spread> failure domains

    Examples: losses
      | shards | servers | domains | lost             | moved | most | spread |
      | 4096   | 6       | 3       | 1 servers        | 683   | 820  | 3      |
      | 4096   | 6       | 3       | a failure domain | 1366  | 1024 | 2      |
      | 16384  | 200     | 4       | 1 servers        | 82    | 83   | 3      |
      | 65536  | 1800    | 24      | 1 servers        | 37    | 37   | 10     |
      | 65536  | 1800    | 24      | a failure domain | 2731  | 38   | 23     |

  Scenario: Without remaining servers the shards are released to nobody
    Given an assignment plan of 64 shards over 1 servers in 1 failure domains
    When the assignment loses 1 servers
    Then all shards of the plan have no owner

  Scenario Outline: A rebalance brings the loads within their limits
    Given an assignment plan of <shards> shards over <servers> servers in 3 failure domains
    When <event>
    Then at most <moved> shards get a new target owner
    And the highest load of the plan is at most <highest> times the mean
    And a second assignment plan is the same

    Examples: events
      | shards | servers | event                                     | moved | highest |
      | 4096   | 6       | nothing changes in the assignment         | 0     | 1.01    |
      | 4096   | 6       | 1 servers join the assignment             | 530   | 1.06    |
      | 4096   | 200     | 1 servers join the assignment             | 20    | 1.10    |
      | 4096   | 6       | 1 servers leave the assignment            | 683   | 1.06    |
      | 4096   | 6       | 20 shards of one server take all its load | 700   | 1.16    |
      | 4096   | 6       | the assignment idles at 3 requests/s      | 0     | 1.01    |
      | 7      | 6       | nothing changes in the assignment         | 0     | 2.0     |
