Feature: The soak finds violated guarantees, and the router violates none

  Scenario Outline: The audit reports the guarantees that a soak violates
    Given the results of a soak with <case>
    Then the audit finds "<rules>"

    Examples:
      | case                                       | rules    |
      | no violation                               |          |
      | an unsafe request that ran twice           | TWICE    |
      | a safe request that ran twice              |          |
      | a refused unsafe request that had run      | REFUSED  |
      | a wrong response body                      | MIXED    |
      | a run of a request that was never sent     | UNASKED  |
      | a run with a path that was not sent        | UNASKED  |
      | a request above the slot limit             | OVERFULL |
      | two holders of a key for 700 ms            | OWNER    |
      | two holders of a key for 300 ms            |          |
      | a previous holder that was killed          |          |
      | a previous holder whose hold had expired   |          |
      | a fence that does not rise between servers | FENCE    |
      | a lower fence in the middle of a range     | FENCE    |
      | a poison request that ran 3 times late     |          |
      | a poison request that ran 4 times late     | BUDGET   |
      | a poison request that ran 4 times at once  |          |
      | 6 requests to a server with a limit of 0   | LIMIT    |
      | 5 requests to a server with a limit of 0   |          |
      | 6 requests to a server with a limit of 0.3 |          |
      | 9 requests 400 ms after a limit of 0       |          |
      | 9 requests of a restarted node after a limit of 0 |   |
      | a request 2.5 s after its server left      | DRAIN    |
      | a request 1.5 s after its server left      |          |
      | a request of a restarted node after its server left | |

  Scenario: A keyed server reports held keys, releases them and refuses old fences
    Given a keyed server that is granted 0-99 with fence 3 for 1000 ms
    Then it holds key 50 at 1019 ms and not at 1021 ms
    When it runs a request for key 50 and is granted 0-49 with fence 3
    Then it has released nothing, and still reports 50-99 as held
    When its request for key 50 ends
    Then it has released 50-99 with a token
    When it is granted 0-49 with fence 2
    Then it holds no keys

  Scenario Outline: Real processes violate no guarantee under random faults
    When a soak with seed <seed> injects faults for <duration> s
    Then no guarantee is violated and all keys are served again

    Examples: seeds that once failed are kept, with the cause of the failure
      | seed | duration | cause                                        |
      | 1    | 6        | none                                         |
      | 3    | 8        | the stand-in recorded holds that had expired |
      | 502  | 10       | a row from a copy began an earlier term      |
