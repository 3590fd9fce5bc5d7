Feature: Granters are spread and survive the loss of a failure domain

  Scenario Outline: Granters of <members> members in <domains> failure domains
    Given <members> members in <domains> failure domains that chose their granters
    Then no member grants to more than <most> others
    And all granters of a member are in different failure domains, <own> in its own

    Examples: sizes
      | members | domains | most | own |
      | 11      | 4       | 6    | 0   |
      | 11      | 3       | 6    | 1   |
      | 200     | 4       | 6    | 0   |

  Scenario: A failure domain of 75 members among 1800 is evicted in one transaction
    Given 1800 members in 24 failure domains that chose their granters
    Then no member grants to more than 6 others
    And all granters of a member are in different failure domains, 0 in its own
    When the granters state the lapses of a whole failure domain to an evictor
    Then the evictor evicts the whole failure domain in one transaction
    And all other members keep two granters

  Scenario Outline: Only inadequate granters are replaced
    Given 8 members in 4 failure domains that chose their granters
    When <event> and a member improves its granters
    Then <count> of its granters are new

    Examples: events
      | event                   | count |
      | nothing happens         | 0     |
      | one granter is silent   | 1     |
      | one granter is gone     | 1     |
      | all granters are silent | 3     |
