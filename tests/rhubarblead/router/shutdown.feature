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

  # LOST: while the renewal of the lease waited for the store, requests were
  # taken until the end of the grace and then cut.
  Scenario Outline: Requests that come late in the grace are refused at once
    Given a process with a grace of <grace> s that is stopped while the store <store>
    And its server is at work on a request
    When a request arrives <early> s after the stop
    Then it is dispatched
    When a request arrives <late> s after the stop
    Then it is refused with 503 as not run

    Examples: a request that comes later than 3 s after the stop may be cut
      | grace | store          | early | late |
      | 6     | answers        | 1     | 3.0  |
      | 6     | doesn't answer | 1     | 3.0  |
      | 4     | answers        | 1     | 2.1  |
      | 10    | doesn't answer | 1     | 3.0  |

  Scenario: The lease is renewed before a process ends that has nothing to do
    Given a process with a grace of 6 s that is stopped while the store needs 3.5 s
    Then the process ends 3.4 to 3.9 s after the stop, with its lease renewed
