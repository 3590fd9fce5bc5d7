Feature: Outcomes of the requests that a node runs for other nodes

  # SHORT: nested calls expired while their responses waited behind downloads.
  Scenario Outline: Large responses don't delay the response to a call on the same link
    Given a node whose link carries 10 Mbit per second
    When its server responds to <count> downloads of <size> bytes from <nodes> nodes, and then to a call
    Then the response to the call arrives within 100 ms
    And the last download arrives within <last> ms

    Examples: the link needs 432 ms for 540,000 bytes
      | count | size   | nodes | last |
      | 1     | 540000 | 1     | 475  |
      | 3     | 540000 | 1     | 1430 |
      | 3     | 540000 | 3     | 1430 |
      | 12    | 90000  | 4     | 950  |

  Scenario: A large response that is no longer wanted leaves the link to others
    Given a node whose link carries 10 Mbit per second
    When its server responds to a download of 540000 bytes that is cancelled, and then to one of 90000 bytes
    Then the second download arrives within 150 ms
    And the first download never arrives

  Scenario: A node of an earlier version gets a large response whole
    Given a node whose link carries 10 Mbit per second
    When its server responds to a download of 540000 bytes from a node that accepts no chunks
    Then that node receives one message

  Scenario Outline: Chunks that don't form a whole message are never delivered
    When chunks arrive that <fault>
    Then no message is assembled

    Examples:
      | fault                    |
      | lack the first one       |
      | lack one in the middle   |
      | were sent to a lost link |
      | are aborted              |
