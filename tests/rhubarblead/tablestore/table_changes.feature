Feature: Changes of the tables are compared, and unsafe ones are refused

  Background:
    Given a version of the tables with
      | table  | record                                                                                  |
      | pools  | {"name": "p", "kind": "keyed", "servers": ["p-*"], "shard_count": 8}                    |
      | pools  | {"name": "b", "kind": "balanced", "servers": ["b-1", "b-2"]}                            |
      | routes | {"name": "r", "prefix": "/r", "pool": "p", "key": {"source": "path", "segment": 1}}     |

  Scenario Outline: An unsafe change is refused with its fault
    When <record> replaces <name> in <table>
    Then the change is refused with "<path>"

    Examples: unsafe changes
      | table  | name | record                                                                 | path                |
      | pools  | p    | {"name": "p", "kind": "keyed", "servers": ["p-*"], "shard_count": 16}  | pools.p.shard_count |
      | pools  | p    | {"name": "p", "kind": "balanced", "servers": ["p-*"]}                  | pools.p.kind        |
      | pools  | p    | {"name": "p", "kind": "keyed", "servers": ["q-*"], "shard_count": 8}   | pools.p.servers     |
      | pools  | b    | {"name": "b", "kind": "balanced", "servers": ["b-3"]}                  | pools.b.servers     |
      | pools  | p    | nothing                                                                | pools.p             |
      | pools  | p    | nothing                                                                | routes.0.pool       |
      | routes | r    | {"name": "r", "prefix": "/r", "pool": "p"}                             | routes.0.key        |

  Scenario Outline: A safe change is described by record and field
    When <record> replaces <name> in <table>
    Then the change is safe, and differs in "<paths>"

    Examples: safe changes
      | table  | name | record                                                                                            | paths            |
      | pools  | b    | {"name": "b", "kind": "balanced", "servers": ["b-2", "b-3"], "slots": 5}                          | pools.b.servers, pools.b.slots |
      | pools  | b    | nothing                                                                                           | pools.b          |
      | pools  | p    | {"name": "p", "kind": "keyed", "servers": ["p-1"], "shard_count": 8}                              | pools.p.servers  |
      | routes | r    | {"name": "r", "prefix": "/r", "pool": "p", "key": {"source": "path", "segment": 1}, "timeout_ms": 99} | routes.r.timeout_ms |
      | routes | r    | nothing                                                                                           | routes.r         |

  Scenario: A removed pool may be added again only with its recorded shard count
    When the recorded shards of pool "p" are 16
    Then the recorded shards refuse the version with "pools.p.shard_count"
