Feature: The load tool generates requests by a seed and measures correctly

  Scenario Outline: Requests have the given rate and depend only on the seed
    Given a <kind> load plan of <rate> requests per second for 20 s
    When the requests of the load plan are generated twice
    Then the load plan has generated the same requests both times
    And the load plan has generated <rate> requests per second within <percent> percent

    Examples: plans
      | rate | kind    | percent |
      | 500  | regular | 1       |
      | 500  | random  | 5       |

  Scenario: A regular plan requests every shard equally often
    Given a regular load plan of 64 requests per second for 20 s
    When the requests of the load plan are generated twice
    Then the load plan has requested each of 64 shards 20 times, or once less

  Scenario: A hot key gets its share of the requests
    Given a random load plan of 500 requests per second for 20 s
    And the load plan sends 0.5 of the requests to 1 hot key
    When the requests of the load plan are generated twice
    Then the load plan has sent 0.45 to 0.6 of the requests to one key

  Scenario Outline: The longest time without a correct answer is found
    Given correct answers of a shard at "<times>" ms
    When the gaps from <start> ms to <end> ms are measured
    Then the longest gap is <gap> ms

    Examples: gaps
      | times            | start | end  | gap  |
      | 100 200 300      | 100   | 400  | 100  |
      | 100 900 1000     | 0     | 1000 | 800  |
      | 100 200          | 0     | 2000 | 1800 |
      |                  | 0     | 2000 | 2000 |
      | 100 5000         | 200   | 900  | 700  |

  Scenario Outline: Late answers lower the measured rate
    Given correct answers of a shard at "<times>" ms
    When the rate of a load of 2 s is computed
    Then the rate is <rate> correct answers per second

    Examples: times
      | times          | rate |
      | 100 1100 1900  | 1.5  |
      | 100 1100 6000  | 0.5  |
      |                | 0    |

  Scenario Outline: Only sends that may have run count as cut off
    Given a send with status <status>, verdict "<verdict>" and fault "<fault>"
    When the sends that were cut off are counted
    Then <count> send counts as cut off

    Examples: sends
      | status | verdict      | fault                  | count |
      | 200    | ran          |                        | 0     |
      | 503    | not-run      |                        | 0     |
      | 502    | may-have-run |                        | 1     |
      | 0      |              | RemoteDisconnected     | 1     |
      | 0      |              | ConnectionRefusedError | 0     |

  Scenario Outline: Results are reported as a page with plots
    Given two results of a <kind> run
    When the report of both results is written
    Then the report shows "<text>" and the plots "<plots>"

    Examples: kinds
      | kind  | text       | plots                     |
      | load  | p99.9, ms  | latency.png imbalance.png |
      | fault | kill-node  | unavailable.png churn.png |

  # TypeError: a connection that was closed after its answer has no socket.
  Scenario Outline: A caller sees whether its connection may be used again
    Given a caller's connection whose peer <does>
    Then its connection counts as <state>

    Examples: a stopping node says that it closes, and does
      | does                             | state  |
      | keeps it after an answer         | open   |
      | closes it after an answer        | closed |
      | says that the answer is the last | closed |
