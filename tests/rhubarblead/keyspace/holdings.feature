Feature: Keys are transferred only after their server no longer holds them

  Scenario Outline: A range is released by the server's report or by expiry of its hold
    Given a server that holds "0-99 100-199" with a hold of 3045 ms
    When its range 100-199 is to be transferred to another owner
    And its events are "<events>"
    Then the released ranges are "<released>"

    Examples: b is a heartbeat that holds all ranges, r one that reports the release, s the same with a sequence number from before the reply, a is a reply, + is elapsed time in ms
      | events         | released          |
      | r              |                   |
      | a r            | 100-199:token     |
      | a b            |                   |
      | a s            |                   |
      | a b a r        | 100-199:token     |
      | a +3000        |                   |
      | a +3200        | 100-199           |
      | +3200          | 100-199           |

  Scenario: A range being released is not granted by the reply and not held
    Given a server that holds "0-99 100-199" with a hold of 3045 ms
    When its range 100-149 is to be transferred to another owner
    Then key 120 is held
    When its events are "a"
    Then the reply grants "0-99 150-199"
    And key 120 is not held
    And key 150 is held

  Scenario: Reading a newer assignment doesn't cancel a pending release
    Given a server that holds "0-99 100-199" with a hold of 3045 ms
    When its range 100-149 is to be transferred to another owner
    And the assignment is read again
    And its events are "a"
    Then the reply grants "0-99 150-199"

  Scenario: A hold is limited by the remaining time of the lease
    Given a server that holds "0-99" with a hold of 3045 ms
    When it gets a reply while the lease lasts 1030 ms
    Then the hold is 999 ms

  Scenario: Without a lease nothing is renewed, and the hold expires
    Given a server that holds "0-99" with a hold of 3045 ms
    When it gets a reply while the lease lasts 0 ms
    Then nothing is granted
    And key 5 is held
    When its events are "+3200"
    Then key 5 is not held

  Scenario: A restarted node waits until the longest hold of an earlier process has ended
    Given a server whose node has just started
    When its range 0-99 is to be transferred to another owner
    And its events are "+9999"
    Then the released ranges are ""
    When its events are "+2"
    Then the released ranges are "0-99"

  Scenario: A restarted node waits for the hold that the earlier process has recorded
    Given a server whose node has just started
    When the hold of the earlier process ends after 3000 ms
    And its range 0-99 is to be transferred to another owner
    And its events are "+2999"
    Then the released ranges are ""
    When its events are "+2"
    Then the released ranges are "0-99"
