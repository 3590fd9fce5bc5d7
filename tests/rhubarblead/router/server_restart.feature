Feature: A restarted server gets its keys with the reply to its first heartbeat

  # They came with the reply to the second one, 0.9 s later.
  Scenario: The reply to the first heartbeat waits for the keys to be assigned
    Given a node whose server has held keys, and restarts
    When the new process sends its first heartbeat
    Then the reply comes within 300 ms and grants its keys

  Scenario: The reply comes in time if the keys can't be assigned
    Given a node whose server has held keys, and restarts
    And the store answers none of its calls
    When the new process sends its first heartbeat
    Then the reply comes within 700 ms and grants no keys
