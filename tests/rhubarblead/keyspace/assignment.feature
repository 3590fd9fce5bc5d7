Feature: An assignment maps keys to owners with increasing fences

  Scenario Outline: A transfer splits ranges at its ends and increases the fence
    Given an assignment "<before>"
    When transfers "<transfers>" are applied
    Then the assignment is "<after>"

    Examples: ranges are first-last:owner/fence, - is no owner
      | before                       | transfers         | after                                              |
      | 0-65535:-/0                  | 0-9:a             | 0-9:a/1 10-65535:-/0                               |
      | 0-65535:a/4                  | 100-199:b         | 0-99:a/4 100-199:b/5 200-65535:a/4                 |
      | 0-99:a/4 100-65535:b/3       | 50-149:c          | 0-49:a/4 50-149:c/5 150-65535:b/3                  |
      | 0-99:a/4 100-65535:b/3       | 0-99:b 100-199:a  | 0-99:b/5 100-199:a/5 200-65535:b/3                 |
      | 0-99:a/4 100-65535:b/3       | 0-65535:a         | 0-65535:a/5                                        |
      | 0-9:a/1 10-19:b/2 20-65535:a/1 | 10-19:a         | 0-9:a/1 10-19:a/3 20-65535:a/1                     |

  Scenario: Ranges with a handover token aren't merged with adjacent ranges
    Given an assignment "0-65535:a/1"
    When transfers "0-9:b:token 10-19:b" are applied
    Then the assignment is "0-9:b/2:token 10-19:b/2 20-65535:a/1"

  Scenario: An assignment is encoded and decoded without loss
    Given an assignment "0-99:a/4 100-65535:b/3"
    When transfers "5-6:c:token" are applied
    Then it is unchanged after encoding and decoding

  Scenario Outline: Malformed bytes are rejected
    Then the bytes "<hex>" are not a valid assignment

    Examples:
      | hex      |
      | 00       |
      | 93010190 |
      | 930190   |
      | c1       |

  Scenario: Every transfer gets a fence above all earlier fences of its keys
    Given an assignment "0-65535:-/0"
    When 200 random transfers are applied with seed 11
    Then each transfer's fence was above all earlier fences of its keys

  # SHORT: each change of one key copied a thousand ranges on every node.
  Scenario: A transfer leaves the ranges that it does not touch as they are
    Given an assignment of 1000 ranges to 33 owners
    When transfers "40000-40009:n1 50000-50000:n2:token" are applied
    Then at most 6 ranges are new objects
