Feature: A request that may still run blocks the handover of its shard

  Scenario Outline: An unresolved run is released once it can no longer run
    Given an unresolved run at incarnation "1" of an upstream that settles in 400 ms
    When the unresolved runs record "<events>"
    Then the unresolved run is <state>

    Examples: events are 100 ms apart
      | events                                   | state    |
      |                                          | kept     |
      | silent silent silent                     | kept     |
      | ended                                    | released |
      | ended-2                                  | kept     |
      | silent silent healthy healthy            | kept     |
      | silent healthy healthy healthy healthy healthy | released |
      | healthy healthy silent healthy healthy healthy | kept     |
      | healthy-2                                | released |
