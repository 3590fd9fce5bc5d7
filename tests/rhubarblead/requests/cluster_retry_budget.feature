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

    Examples: no extra retries are taken while nodes may be missing from the count
      | requests | attempts | nodes   | allowed |
      | 0        | 100      | unknown | 0       |
      | 100      | 100      | unknown | 16      |

  Scenario: Requests and retries older than the window no longer count
    Given a cluster retry budget of 0.2 per request and 60 extra retries per 10000 ms
    When 100 requests arrive and 100 retries are attempted, with 12 nodes
    And the retries end
    And 10000 ms elapse
    And 0 requests arrive and 100 retries are attempted, with 12 nodes
    Then 4 retries are allowed

  Scenario: A retry that may still reach a server counts, however old it is
    Given a cluster retry budget of 0.2 per request and 60 extra retries per 10000 ms
    When 100 requests arrive and 100 retries are attempted, with 12 nodes
    And 9000 ms elapse
    And the retries end
    And 9000 ms elapse
    And 0 requests arrive and 100 retries are attempted, with 12 nodes
    Then 0 retries are allowed

  Scenario: A restarted process takes no extra retries for a whole window
    Given a cluster retry budget of 0.2 per request and 60 extra retries per 10000 ms
    And its process has started just now
    When 100 requests arrive and 100 retries are attempted, with 12 nodes
    Then 16 retries are allowed
    When the retries end
    And 10000 ms elapse
    And 0 requests arrive and 100 retries are attempted, with 12 nodes
    Then 4 retries are allowed

  # BUDGET: repeated runs made more calls than the called service's limit allows.
  Scenario Outline: A retry whose run makes nested calls counts at the called service
    Given a cluster retry budget of 0.2 per request and 60 extra retries per 10000 ms
    When 1000 requests arrive and 100 retries are attempted, with 12 nodes, each making <calls> calls
    Then <allowed> retries are allowed

    Examples: of the called service's limit, 4 retries are this node's
      | calls | allowed |
      | 0     | 100     |
      | 0.5   | 8       |
      | 2     | 2       |
      | 5     | 0       |

  # BUDGET: nodes behind a cut, and restarted ones, took more than their part.
  Scenario Outline: The retries of all nodes keep the limit together
    Given 12 nodes that share 0.2 retries per request and 60 extra retries per 10000 ms
    When they retry as often as they may for 60 s, while <trouble>
    Then no window has more retries than the limit

    Examples:
      | trouble                                              |
      | nothing happens                                      |
      | half of them are cut off from the others             |
      | half of them restart every 2 s                       |
      | all of them restart every 3 s                        |
      | half of them are gone for good                       |
      | cuts, restarts and bursts come in series             |
      | retries wait up to 3 s before they reach a server    |
