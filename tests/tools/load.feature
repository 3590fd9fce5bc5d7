Feature: The load tool sends what its seed says, and measures truly

  Scenario Outline: Requests come at the asked rate, the same for one seed
    Given a load plan of <rate> requests a second for 20 s that is <kind>
    When the load plan is drawn twice
    Then the load plan gave the same requests both times
    And the load plan gave <rate> requests a second within <percent> percent

    Examples: plans
      | rate | kind    | percent |
      | 500  | regular | 1       |
      | 500  | random  | 5       |

  Scenario: A regular plan comes to every shard equally often
    Given a load plan of 64 requests a second for 20 s that is regular
    When the load plan is drawn twice
    Then the load plan came to each of 64 shards 20 times

  Scenario: A hot key gets its share
    Given a load plan of 500 requests a second for 20 s that is random
    And the load plan sends 0.5 of the requests to 1 hot key
    When the load plan is drawn twice
    Then the load plan sent from 0.45 to 0.6 of the requests to one key

  Scenario Outline: The longest time without a right answer is found
    Given right answers of a shard at "<moments>" ms
    When the gaps from <start> ms to <end> ms are measured
    Then the longest gap is <gap> ms

    Examples: gaps
      | moments          | start | end  | gap  |
      | 100 200 300      | 100   | 400  | 100  |
      | 100 900 1000     | 0     | 1000 | 800  |
      | 100 200          | 0     | 2000 | 1800 |
      |                  | 0     | 2000 | 2000 |
      | 100 5000         | 200   | 900  | 700  |

  Scenario Outline: Answers that come late lower the rate that was reached
    Given right answers of a shard at "<moments>" ms
    When the rate of a load of 2 s is worked out
    Then the rate is <rate> right answers a second

    Examples: moments
      | moments        | rate |
      | 100 1100 1900  | 1.5  |
      | 100 1100 6000  | 0.5  |
      |                | 0    |

  Scenario Outline: Only sends that may have run count as cut off
    Given a send with status <status>, verdict "<verdict>" and fault "<fault>"
    When the sends that were cut off are counted
    Then <count> of them was cut off

    Examples: sends
      | status | verdict      | fault                  | count |
      | 200    | ran          |                        | 0     |
      | 503    | not-run      |                        | 0     |
      | 502    | may-have-run |                        | 1     |
      | 0      |              | RemoteDisconnected     | 1     |
      | 0      |              | ConnectionRefusedError | 0     |

  Scenario Outline: Results become a page with plots
    Given two results of a <kind> run
    When the report of them is written
    Then the report shows "<text>" and the plots "<plots>"

    Examples: kinds
      | kind  | text       | plots                     |
      | load  | p99.9, ms  | latency.png imbalance.png |
      | fault | kill-node  | unavailable.png churn.png |
