Feature: A planned stop completes what is in progress

  # LOST: the process ended after SIGTERM while its transport still held the rest
  # of a download.
  Scenario: The process ends after the last bytes of a response have been sent
    Given a process that is stopped during a slow download
    When the caller reads on 3.2 s after the stop
    Then the process has not ended before, and the caller gets all bytes
    And the process ends 0.5 s later

  Scenario: A caller that never reads doesn't hold the process up beyond its grace
    Given a process that is stopped during a slow download
    Then the process ends within 5.9 s, and logs the unsent bytes
