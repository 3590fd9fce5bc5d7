Feature: A server that states a limit on its request rate gets no more than that

  # LIMIT: a server that named a limit got its ordinary load.
  Scenario Outline: The limit holds from the first response on, and is used
    Given a server with 18 slots for runs of 250 ms that states "<limits>"
    When <load> requests per second arrive at it for 30 s
    Then in 4 s of a limit it gets at most 1.2 times the limit and 4
    And under each limit it gets at least 85 per cent of what it may

    Examples: a limit from each of the times in s on; - is none
      | limits                      | load |
      | 5:20                        | 60   |
      | 5:10.6                      | 30   |
      | 5:0.3                       | 60   |
      | 5:0                         | 60   |
      | 5:30                        | 28   |
      | 5:40                        | 28   |
      | 5:2 12:20                   | 60   |
      | 5:30 12:0.3                 | 60   |
      | 5:10 9:- 13:10 17:- 21:10   | 60   |

  # A limit of 0 allows 5 in 4 s; half of the responses state it.
  Scenario: A server that states a limit in every other response gets little more
    Given a server with 18 slots for runs of 250 ms that states "0" in every other response
    When 60 requests per second arrive at it for 30 s
    Then it gets at most 10 requests in 4 s

  Scenario: A server that no longer states a limit is used fully within 2 s
    Given a server with 18 slots for runs of 250 ms that states "5:0 15:-"
    When 60 requests per second arrive at it for 30 s
    Then from 2 s after its first response without a limit it gets at least 90 per cent of 60 requests per second

  Scenario Outline: The limit holds when the node is restarted or stands still
    Given a server with 18 slots for runs of 250 ms that states "5:<limit>"
    And its node <trouble> every 700 ms from 6 s on
    When 60 requests per second arrive at it for 30 s
    Then in 4 s of a limit it gets at most 1.2 times the limit and 4

    Examples:
      | limit | trouble      |
      | 0     | is restarted |
      | 0.3   | is restarted |
      | 10.6  | is restarted |
      | 0     | stands still |
      | 10.6  | stands still |

  Scenario Outline: What a limited server can't take is refused at once
    Given a server with 18 slots for runs of 250 ms that states "5:<limit>"
    When <load> requests per second arrive at it for 30 s
    Then 95 per cent of the refused requests have waited at most 75 ms
    And none of them has waited more than 650 ms

    Examples: 75 ms are an eighth of the target, 650 ms the target
      | limit | load |
      | 20    | 60   |
      | 10.6  | 30   |
      | 0     | 60   |

  Scenario: Waiting requests are refused when the limit leaves no time for them
    Given a server with 18 slots for runs of 250 ms that states "5:0.3"
    When 90 requests per second arrive at it for 30 s
    Then requests that wait when it states the limit are refused within 50 ms

  Scenario: Refused callers come back at the rate of the limit
    Given a server with 18 slots for runs of 250 ms that states "5:10"
    When 15 requests per second arrive at it for 30 s
    Then the callers are told to come back at most 12 in a second

  Scenario: Urgent requests go first, and calls before them
    Given a server with 18 slots for runs of 250 ms that states "5:10"
    When 4 urgent requests, 2 calls and 30 others per second arrive at it for 30 s
    Then at least 95 per cent of the calls and 85 per cent of the urgent ones are served in time
