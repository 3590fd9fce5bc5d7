Feature: Keys are spread over servers by number at first, and by load then

  Scenario: Neighbouring keys of a first assignment have many owners
    When keys are first planned for 6 servers
    Then all keys have an owner, and none differs by more than 2 per cent
    And 400 neighbouring keys have at least 2 owners

  Scenario Outline: The keys of a lost server go to all others alike
    Given an assignment "<before>"
    When what d owns is spread over "<targets>"
    Then the gifts are "<gifts>"

    Examples:
      | before                                                  | targets | gifts                        |
      | 0-9:d/1 10-19:d/1 20-39:a/1 40-65535:b/1                | a b     | 0-9:a 10-19:a                |
      | 0-9999:d/1 10000-19999:d/1 20000-42768:a/1 42769-65535:b/1 | a b  | 0-9999:b 10000-19999:a       |
      | 0-9:d/1 10-65535:a/1                                    | -       | 0-9:-                        |

  Scenario: As long as one of five servers is left, its answer holds all keys
    When keys are first planned for 5 servers
    And all but one server are lost, one after the other
    Then its ranges fit into the answer to a heartbeat

  Scenario Outline: A new server gets keys, a slow one does not
    Given an assignment "0-9999:a/1 10000-19999:a/1 20000-32767:a/1 32768-65535:b/1"
    And loads "<loads>"
    When a plans to welcome others
    Then it gives <count> ranges to <target>

    Examples: loads are server:load:capacity
      | loads                       | count | target  |
      | a:0.5:80 b:0.5:80 c:0.0:80  | 1     | c       |
      | a:0.5:80 b:0.5:80 c:0.9:10  | 0     | nobody  |
      | a:0.5:80 b:0.5:80           | 0     | nobody  |

  Scenario: A server that holds all keys as one range keeps its share
    Given an assignment "0-65535:a/1"
    And loads "a:0.5:80 b:0.0:80 c:0.0:80 d:0.0:80"
    When a plans to welcome others
    Then each of b, c and d gets between 4000 and 16384 keys
    And a keeps at least 16384 keys

  Scenario Outline: Hot keys leave an overloaded server, whole or in parts
    Given an assignment "0-99:a/1 100-199:a/1 200-299:a/1 300-65535:b/1"
    And loads "<loads>"
    And requests a second by key "<rates>"
    When a plans to shift load
    Then the gifts are "<gifts>"

    Examples: capacities are in requests a second
      | loads                 | rates                         | gifts              |
      | a:0.5:80 b:0.1:80     | 5:40                          |                    |
      | a:0.7:80 b:0.6:80     | 5:56                          |                    |
      | a:1.0:80 b:0.2:80     | 5:20 105:20 205:20 206:20     | 100-199:b          |
      | a:1.0:80 b:0.2:80     | 5:25 10:25 20:30              | 0-9:b              |
      | a:1.0:80 b:0.2:80     | 5:80                          |                    |
      | a:1.5:80 b:0.2:240    | 5:30 25:30 105:60             | 105-105:b          |
      | a:1.5:80 b:0.2:90     | 105:120                       |                    |
      | a:4.0:60 b:0.6:120    | 5:200 6:20 205:20             | 5-5:b              |
      | a:4.0:60 b:0.6:60     | 5:200 6:20 205:20             | 200-299:b          |
      | a:0.9:60 b:0.3:120    | 5:54                          |                    |

  Scenario: A hot spot ends up spread over the servers within a few rounds
    Given 6 servers of 80 requests a second, one of 40
    And 250 requests a second, 40 per cent of them for 200 neighbouring keys
    When all servers plan 6 rounds
    Then no server's load is above 0.85
    And at most 10 per cent of the keys have moved in a round
