Feature: A cold server gets no more requests than it tolerates

  # FAILBACK: nothing read how cold a server was.
  Scenario Outline: In no second a cold server gets more than its bound
    Given a server with 6 slots for runs of <run> ms that tolerates 5.5 requests per second while cold
    And it turns cold <kind> at "<times>" s for 3 s each
    And its probes are answered <probes>
    When 60 requests per second come to it for 20 s
    Then in any second from the start of a cold spell it gets at most 16 requests
    And while cold it gets at least <least> per cent of what it tolerates

    Examples: heartbeats come each 870 ms; without probes their word comes late
      | run | kind             | times         | probes            | least |
      | 210 | without notice   | 3 8 14        | at once           | 90    |
      | 100 | without notice   | 3 8 14        | at once           | 90    |
      | 60  | without notice   | 3.1 8.3 14.7  | at once           | 90    |
      | 100 | by a restart     | 3 8 14        | at once           | 85    |
      | 60  | by a restart     | 3.4 8.6 14.2  | at once           | 85    |
      | 100 | without notice   | 3 8 14        | after 120 ms      | 85    |
      | 100 | without notice   | 3.4 8.6 14.2  | never             | 85    |
      | 100 | by a restart     | 3.4 8.6 14.2  | never             | 80    |
      | 100 | without notice   | 3 4 5 6 7 8   | at once           | 90    |

  Scenario Outline: A warm server runs as many requests as without a bound
    Given a server with 6 slots for runs of <run> ms that tolerates 5.5 requests per second while cold
    And its probes are answered at once
    When 60 requests per second come to it for 20 s
    Then it gets at least 97 per cent of what it gets without a bound
    And it is probed at most <probes> times per second

    Examples:
      | run | probes |
      | 210 | 5      |
      | 100 | 9      |

  Scenario: Connections that break off don't slow a warm server down
    Given a server with 6 slots for runs of 210 ms that tolerates 5.5 requests per second while cold
    And its probes are answered at once
    And a connection to it breaks off every 100 ms
    When 60 requests per second come to it for 20 s
    Then it gets at least 95 per cent of what it gets without a bound

  Scenario: A late heartbeat of before a restart proves nothing
    Given a server that is in doubt
    When a heartbeat says that it is warm
    And it is sent as many requests as it may get
    Then it counts as held
    When 150 ms pass without a proof
    Then it counts as cold
    When a heartbeat says that it is warm
    Then it counts as warm

  Scenario: The lower of a stated limit and that of a cold server holds
    Given a server that states a limit of 2 requests per second, and is cold
    Then 2 requests per second may be sent
    When its stated limit rises to 20
    Then 5.5 requests per second may be sent
    When it is warm
    Then 20 requests per second may be sent
