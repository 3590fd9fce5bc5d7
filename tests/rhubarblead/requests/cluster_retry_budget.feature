Feature: A node stays within its share of the retry limit of all nodes

  Scenario Outline: Retries within a window
    Given a cluster retry budget of 0.2 per request and 60 extra retries per 10000 ms
    When <requests> requests arrive and <attempts> retries are attempted, with <nodes> nodes
    Then <allowed> retries are allowed

    Examples: four fifths of the limit are in use
      | requests | attempts | nodes | allowed |
      | 0        | 100      | 1     | 48      |
      | 0        | 100      | 12    | 4       |
      | 100      | 100      | 12    | 20      |
      | 100      | 10       | 12    | 10      |

  Scenario: Requests and retries older than the window no longer count
    Given a cluster retry budget of 0.2 per request and 60 extra retries per 10000 ms
    When 100 requests arrive and 100 retries are attempted, with 12 nodes
    And 10000 ms elapse
    And 0 requests arrive and 100 retries are attempted, with 12 nodes
    Then 4 retries are allowed
