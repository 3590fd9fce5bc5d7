Feature: Large messages are paced over the link of an instance

  Scenario: No more than 25 ms of chunks are on their way
    Given a queue of transfers over a link of 10 Mbit per second
    When a transfer of 540000 bytes is added
    Then 5 chunks of 6250 bytes may be sent
    When one chunk of transfer 1 is acknowledged
    Then 1 chunks of 6250 bytes may be sent

  Scenario: A fast link sends ordinary downloads whole
    Given a queue of transfers over a link of 1000 Mbit per second
    When a transfer of 540000 bytes is added
    Then 1 chunks of 540000 bytes may be sent

  Scenario: A receiver that acknowledges nothing holds up others for a short time only
    Given a queue of transfers over a link of 10 Mbit per second
    When a transfer of 540000 bytes is added
    And a transfer of 90000 bytes is added
    Then 5 chunks of 6250 bytes may be sent
    When 301 ms elapse without an acknowledgement
    Then 5 chunks of transfer 2 may be sent

  Scenario: A transfer whose receiver has fallen silent is abandoned
    Given a queue of transfers over a link of 10 Mbit per second
    When a transfer of 540000 bytes is added
    Then 5 chunks of 6250 bytes may be sent
    When 2501 ms elapse without an acknowledgement
    Then transfer 1 is abandoned

  Scenario: A transfer that is no longer wanted makes room for the next
    Given a queue of transfers over a link of 10 Mbit per second
    When a transfer of 540000 bytes is added
    And a transfer of 90000 bytes is added
    Then 5 chunks of 6250 bytes may be sent
    When transfer 1 is removed
    Then 5 chunks of transfer 2 may be sent
    And 90000 bytes are queued

  Scenario: A transfer ends with the acknowledgement of its last chunk
    Given a queue of transfers over a link of 10 Mbit per second
    When a transfer of 10000 bytes is added
    Then 2 chunks of at most 6250 bytes may be sent
    When one chunk of transfer 1 is acknowledged
    Then 3750 bytes are queued
    When one chunk of transfer 1 is acknowledged
    Then no transfer is left
