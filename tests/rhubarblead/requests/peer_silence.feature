Feature: Nodes that leave requests without replies

  Scenario Outline: A node is probed, then taken to be silent
    Given a node to which a request was sent at 1000 ms
    And probes were answered in <latency> ms before
    When checks are made each 50 ms until <until> ms, without a reply
    Then the node was probed <probed> times, and is <state>

    Examples: a probe follows after 200 ms, with a timeout of 150 to 1500 ms
      | latency | until | probed | state  |
      | 5       | 1150  | 0      | heard  |
      | 5       | 1300  | 1      | heard  |
      | 5       | 1400  | 1      | silent |
      | 200     | 1750  | 1      | heard  |
      | 200     | 1900  | 1      | silent |
      | 2000    | 2800  | 1      | silent |

  Scenario: A reply of any kind ends the silence
    Given a node to which a request was sent at 1000 ms
    When checks are made each 50 ms until 1600 ms, without a reply
    And the node replies at 1700 ms
    Then the node was probed 1 times, and is heard

  # Each probe over a saturated link made its node look silent for a moment.
  Scenario: A node whose replies are always slow isn't taken to be silent again
    Given a node to which a request was sent at 1000 ms
    When checks are made each 50 ms until 1500 ms, without a reply
    And the node replies at 1600 ms
    And another request is sent to it at 2000 ms
    And checks are made each 50 ms until 2550 ms, without a reply
    Then the node was probed 2 times, and is heard

  Scenario: A node that isn't sent anything owes no reply
    Given a node to which a request was sent at 1000 ms
    When the node replies at 1100 ms
    And checks are made each 50 ms until 9000 ms, without a reply
    Then the node was probed 0 times, and is heard

  # After a suspension, all other nodes would look silent.
  Scenario: Time in which this node was stalled doesn't count
    Given a node to which a request was sent at 1000 ms
    When checks are made each 50 ms until 1250 ms, without a reply
    And the next check is made 4000 ms late
    Then the node was probed 1 times, and is heard
