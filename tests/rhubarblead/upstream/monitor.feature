Feature: The state of an upstream follows from announcements, probes and responses

  Scenario Outline: Whether an upstream gets new requests
    Given an upstream monitor that probes every 200 ms for 300 ms and allows 3 failures
    When the monitor receives "<events>"
    Then the monitor reports the upstream as <state>, serving <serving>

    Examples: events, 200 ms apart
      | events                                            | state    | serving |
      |                                                   | unknown  | False   |
      | announce                                          | unknown  | False   |
      | announce healthy                                  | serving  | True    |
      | announce cold                                     | cold     | True    |
      | announce healthy fail fail                        | serving  | True    |
      | announce healthy fail fail fail                   | silent   | False   |
      | announce healthy fail fail healthy fail           | serving  | True    |
      | announce healthy fail response fail response fail response fail | serving | True |
      | announce healthy response fail fail fail fail fail fail | silent | False  |
      | announce healthy fail fail fail healthy           | serving  | True    |
      | announce healthy announce-draining                | draining | False   |
      | announce healthy announce-draining healthy        | draining | False   |
      | announce healthy probe-draining healthy           | draining | False   |
      | announce healthy announce-draining restart        | unknown  | False   |
      | announce healthy announce-draining restart healthy2 | serving  | True    |
      | announce healthy restart healthy                  | unknown  | False   |
      | announce healthy wait wait wait wait wait wait wait wait wait wait wait wait wait | serving | False |

  Scenario Outline: An expiry converted to the upstream's clock is never late
    Given an upstream monitor that probes every 200 ms for 300 ms and allows 3 failures
    And an announced upstream whose clock is <ahead> ms ahead of the monitor
    When probes take "<delays>" ms for request and response
    Then the monitor's expiry is early by <early> ms

    Examples: delays of request+response in ms
      | ahead  | delays     | early |
      | 5000   | 0+0        | 0     |
      | -5000  | 0+0        | 0     |
      | 5000   | 3+2        | 2     |
      | 5000   | 0+9        | 9     |
      | 5000   | 9+0        | 0     |
      | 5000   | 0+1 0+250  | 1     |
      | 5000   | 0+20 0+1   | 1     |
