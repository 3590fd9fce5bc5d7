Feature: A request that a silent server may still run keeps its shard

  Scenario Outline: When a shard is let go
    Given an unresolved run at incarnation "1" of an upstream that settles in 400 ms
    When the unresolved runs see "<events>"
    Then the unresolved run is <state>

    Examples: events are 100 ms apart
      | events                                   | state |
      |                                          | kept  |
      | silent silent silent                     | kept  |
      | ended                                    | gone  |
      | ended-2                                  | kept  |
      | silent silent healthy healthy            | kept  |
      | silent healthy healthy healthy healthy healthy | gone |
      | healthy healthy silent healthy healthy healthy | kept |
      | healthy-2                                | gone  |
