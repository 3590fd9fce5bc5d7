Feature: Promises are given by the process that a node has chosen

  # OWNER: a granter that was restarted promised in a term in which its earlier
  # process had taken over the keys.
  Scenario Outline: Only the process that the row names answers
    Given a granter whose process is "b"
    When a node that has chosen process "<chosen>" sends a <message>
    Then the granter answers <count> times

    Examples: earlier versions don't name the process
      | chosen | message   | count |
      | b      | heartbeat | 1     |
      | a      | heartbeat | 0     |
      |        | heartbeat | 1     |
      | b      | leave     | 1     |
      | a      | leave     | 0     |
      |        | leave     | 1     |

  Scenario: A node names the process that it has chosen
    Given a node that has chosen process "b" of a granter
    When it sends a heartbeat and leaves
    Then both messages name process "b"
