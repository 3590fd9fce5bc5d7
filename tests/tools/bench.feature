Feature: Reading the journal and the logs of the users' bench

  Scenario Outline: Plays are compared in pairs of the same day and seed
    Given plays of one version "<before>"
    And plays of another version "<after>"
    When they are compared
    Then the mean difference of <count> pairs is <mean>, <certainty>

    Examples: day:seed:worth
      | before                     | after                      | count | mean | certainty |
      | a:1:0.5 a:2:0.6 b:1:0.4    | a:1:0.6 a:2:0.7 b:1:0.5    | 3     | 0.1  | certain   |
      | a:1:0.5 a:2:0.6 b:1:0.4    | a:1:0.9 a:2:0.4 b:1:0.2    | 3     | 0    | uncertain |
      | a:1:0.5 a:2:0.6            | a:1:0.6 c:9:0.9            | 1     | 0.1  | certain   |
      | a:1:0.4 a:1:0.6            | a:1:0.6                    | 1     | 0.1  | certain   |
      | a:1:0.5                    | b:1:0.5                    | 0     | 0    | uncertain |

  Scenario: Losses are what parts lack, and what is charged
    Given plays of one version "a:1:0.5 a:2:0.7"
    Then the mean losses are "day:0.4 machines:0.1"

  Scenario: The use of slots is read from the logs of a day
    Given the log lines
      """
        -9.5 node-1 {"event":"ROUTER_STARTED","instance":"node-1","service":"s"}
      something else
         2.5 node-2 {"event":"ANSWER_RETURNED","node_id":"node-1@10.0.0.1","ran_ms":1000}
         2.6 node-2 {"event":"ANSWER_OWN","node_id":"node-1@10.0.0.1","status":503}
         2.7 node-2 {"event":"ANSWER_OWN","node_id":"node-1@10.0.0.1","status":504}
      """
    Then the table of service s is
      """
      second | node-1  (slots in use, runs, refused)
           0 |  0.25    0    0
           2 |  0.25    1    1
      """

  Scenario: The margin of each bound is read from the logs of a day
    Given the log lines
      """
       -9.0 node-1 {"event":"CONFIG_IN_FORCE","version":1,"previous_version":-1}
        1.0 node-1 {"event":"CONFIG_IN_FORCE","version":2,"previous_version":1}
        2.9 node-2 {"event":"CONFIG_IN_FORCE","version":2,"previous_version":1}
        3.0 node-3 {"event":"CONFIG_IN_FORCE","version":2,"previous_version":-1}
        4.0 node-1 {"event":"SERVER_EXIT_RECORDED","server_id":"i-1"}
        4.9 node-2 {"event":"ANSWER_RETURNED","node_id":"node-1@10.0.0.1","ran_ms":99,"transit_ms":1,"request_id":"r1"}
        4.95 node-2 {"event":"ANSWER_RETURNED","node_id":"node-1@10.0.0.1","ran_ms":990,"transit_ms":10,"request_id":"r2"}
        6.0 node-1 {"event":"ROUTER_STOPPED","waited_ms":3000}
        6.5 node-1 {"event":"SERVER_SEEN","server_id":"i-1"}
        6.9 node-2 {"event":"ANSWER_RETURNED","node_id":"node-1@10.0.0.1","ran_ms":900,"transit_ms":400,"request_id":"r4"}
        7.0 node-1 {"event":"SERVER_SEEN","server_id":"i-2"}
        7.9 node-2 {"event":"ANSWER_RETURNED","node_id":"node-1@10.0.0.1","ran_ms":99,"transit_ms":1,"request_id":"r3"}
        8.0 node-1 {"event":"REQUEST_SENT_AGAIN","service":"s","allowed_count":4}
      """
    Then the margins are
      """
        95%  configuration in force, ms after the first node: 1900 of 2000 (version 2 at node-2)  high
        80%  request to a leaving server, ms after its exit: 1600 of 2000 (node-1, request r4)
        50%  planned stop, ms: 3000 of 6000 (node-1 at 6.0 s)
        25%  retries to s, in 10 s: 1 of 4 (until 8.0 s)
      """

  Scenario: Short days are drawn by seed
    When 300 short days are drawn
    Then each has 3 to 6 disruptions of several targets, within 3 s
    And each kind and each variant is drawn
    And each day that is drawn again is the same, also read from its file

  Scenario: The retries of all nodes are summed by service and window
    Given the log lines
      """
        1.0 node-1 {"event":"REQUEST_SENT_AGAIN","service":"s","allowed_count":5}
        2.0 node-1 {"event":"REQUEST_SENT_AGAIN","service":"s","allowed_count":6}
        3.0 node-2 {"event":"REQUEST_SENT_AGAIN","service":"s","allowed_count":4}
        4.0 node-2 {"event":"REQUEST_SENT_AGAIN","service":"t","allowed_count":4}
       13.5 node-2 {"event":"REQUEST_SENT_AGAIN","service":"s","allowed_count":4}
      """
    Then the most retries to service s are 3, until 3000 ms, with 10 allowed
    And the most retries to service t are 1, until 4000 ms, with 4 allowed
