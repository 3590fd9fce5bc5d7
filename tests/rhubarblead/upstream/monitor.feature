Feature: An upstream's state is judged by what it does

  Scenario Outline: Whether an upstream gets new work
    Given an upstream monitor that probes every 200 ms for 300 ms and allows 3 failures
    When the monitor sees "<events>"
    Then the monitor finds the upstream <state>, serving <serving>

    Examples: events, each 200 ms after the one before
      | events                                            | state    | serving |
      |                                                   | unknown  | False   |
      | announce                                          | unknown  | False   |
      | announce healthy                                  | serving  | True    |
      | announce cold                                     | cold     | True    |
      | announce healthy fail fail                        | serving  | True    |
      | announce healthy fail fail fail                   | silent   | False   |
      | announce healthy fail fail healthy fail           | serving  | True    |
      | announce healthy fail answer fail answer fail answer fail | serving | True |
      | announce healthy answer fail fail fail fail fail fail | silent | False  |
      | announce healthy fail fail fail healthy           | serving  | True    |
      | announce healthy leaving                          | draining | False   |
      | announce healthy leaving healthy                  | draining | False   |
      | announce healthy drained healthy                  | draining | False   |
      | announce healthy leaving reborn                   | unknown  | False   |
      | announce healthy leaving reborn healthy2          | serving  | True    |
      | announce healthy reborn healthy                   | unknown  | False   |
      | announce healthy wait wait wait wait wait wait wait wait wait wait wait wait wait | serving | False |

  Scenario Outline: An expiry on the upstream's clock is never late
    Given an upstream monitor that probes every 200 ms for 300 ms and allows 3 failures
    And an announced upstream whose clock is <ahead> ms ahead of the monitor
    When probes take "<delays>" ms there and back
    Then the monitor's expiry is early by <early> ms

    Examples: there+back
      | ahead  | delays     | early |
      | 5000   | 0+0        | 0     |
      | -5000  | 0+0        | 0     |
      | 5000   | 3+2        | 2     |
      | 5000   | 0+9        | 9     |
      | 5000   | 9+0        | 0     |
      | 5000   | 0+1 0+250  | 1     |
      | 5000   | 0+20 0+1   | 1     |
