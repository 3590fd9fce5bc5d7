Feature: The operators' tables are validated

  Scenario Outline: An invalid table is refused with the path of the fault
    Given the tables
      | table  | record  |
      | pools  | <pool>  |
      | routes | <route> |
    When the tables are read
    Then the tables are refused with "<fault>"

    Examples: faults
      | pool                                                               | route                                                                               | fault                         |
      | {"name": "p", "kind": "balanced", "servers": ["a"]}                | {"name": "r", "prefix": "/r", "pool": "q"}                                          | routes.0.pool                 |
      | {"name": "p", "kind": "keyed", "servers": ["a"], "shard_count": 6} | {"name": "r", "prefix": "/r", "pool": "p", "key": {"source": "path", "segment": 1}} | pools.0.shard_count           |
      | {"name": "p", "kind": "keyed", "servers": ["a"], "shard_count": 8} | {"name": "r", "prefix": "/r", "pool": "p"}                                          | routes.0.key                  |
      | {"name": "p", "kind": "balanced", "servers": ["a", "a"]}           | {"name": "r", "prefix": "/r", "pool": "p"}                                          | pools.*.servers               |
      | {"name": "p", "kind": "balanced", "servers": ["a"], "surplus": 1}  | {"name": "r", "prefix": "/r", "pool": "p"}                                          | pools.0.surplus               |
      | {"name": "p", "kind": "balanced", "servers": ["a"]}                | {"name": "r", "prefix": "/r", "pool": "p", "unrepeatable_methods": ["POST"]}        | routes.0.unrepeatable_methods |

  Scenario Outline: A path matches the route with the longest prefix
    Given the tables
      | table  | record                                              |
      | pools  | {"name": "p", "kind": "balanced", "servers": ["a"]} |
      | routes | {"name": "all", "prefix": "/", "pool": "p"}         |
      | routes | {"name": "maps", "prefix": "/maps", "pool": "p"}    |
    When the tables are read
    Then the path "<path>" matches the route "<route>"

    Examples: paths
      | path       | route |
      | /maps      | maps  |
      | /maps/cam  | maps  |
      | /mapsother | all   |
      | /          | all   |
