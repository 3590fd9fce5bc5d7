Feature: A lease is counted from the send time of heartbeats

  Scenario Outline: A lease needs the promises of a majority of the granters
    Given the lease of a member with <granters> granters
    When its heartbeats sent at 1000 are answered at 1100 by <promising>
    Then the lease ends at <end>

    Examples: quorums
      | granters | promising | end  |
      | 1        | g0        | 1900 |
      | 2        | g0        | 0    |
      | 2        | g0 g1     | 1900 |
      | 3        | g0        | 0    |
      | 3        | g0 g2     | 1900 |
      | 3        | g0 g1 g2  | 1900 |

  Scenario Outline: An answer that does not match its heartbeat does not extend the lease
    Given the lease of a member with 1 granters
    When its heartbeat sent at 1000 is answered with <field> set to <value>
    Then the lease ends at <end>

    Examples: answers
      | field          | value   | end  |
      | sent_at_ms     | 1800    | 1900 |
      | duration_ms    | 60000   | 1900 |
      | duration_ms    | 500     | 1500 |
      | sequence       | 7       | 0    |
      | granter_id     | "other" | 0    |
      | member_id      | "other" | 0    |
      | granters_epoch | 2       | 0    |
      | is_granted     | false   | 0    |
