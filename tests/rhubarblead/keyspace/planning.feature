Feature: Keys are distributed over servers by count

  Scenario: Adjacent keys of an initial assignment have several owners
    When an initial assignment is planned for 6 servers
    Then all keys have an owner, and key counts differ from the mean by at most 2 per cent
    And 400 adjacent keys have at least 2 owners

  Scenario Outline: The keys of a failed server are distributed by the key counts of the others
    Given an assignment "<before>"
    When the ranges of d are redistributed to "<targets>"
    Then the transfers are "<transfers>"

    Examples:
      | before                                                  | targets | transfers                    |
      | 0-9:d/1 10-19:d/1 20-39:a/1 40-65535:b/1                | a b     | 0-9:a 10-19:a                |
      | 0-9999:d/1 10000-19999:d/1 20000-42768:a/1 42769-65535:b/1 | a b  | 0-9999:b 10000-19999:a       |
      | 0-9:d/1 10-65535:a/1                                    | -       | 0-9:-                        |

  Scenario: The last of five servers can be granted all keys in one reply
    When an initial assignment is planned for 5 servers
    And all but one server fail, one after the other
    Then its ranges fit into the reply to a heartbeat

  Scenario Outline: A new server gets keys and a slow one gets none
    Given an assignment "0-9999:a/1 10000-19999:a/1 20000-32767:a/1 32768-65535:b/1"
    And loads "<loads>"
    When a plans transfers to new servers
    Then it transfers <count> ranges to <target>

    Examples: loads are server:load:capacity
      | loads                       | count | target  |
      | a:0.5:80 b:0.5:80 c:0.0:80  | 1     | c       |
      | a:0.5:80 b:0.5:80 c:0.9:10  | 0     | none    |
      | a:0.5:80 b:0.5:80           | 0     | none    |

  Scenario: A server that holds all keys in one range splits it and keeps its share
    Given an assignment "0-65535:a/1"
    And loads "a:0.5:80 b:0.0:80 c:0.0:80 d:0.0:80"
    When a plans transfers to new servers
    Then each of b, c and d gets between 4000 and 16384 keys
    And a keeps at least 16384 keys
