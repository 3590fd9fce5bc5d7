Feature: An assignment says which server holds which keys, with rising fences

  Scenario Outline: A gift cuts the ranges at its ends and raises the fence
    Given an assignment "<before>"
    When it is given "<gifts>"
    Then the assignment is "<after>"

    Examples: ranges are first-last:owner/fence, nobody is -
      | before                       | gifts             | after                                              |
      | 0-65535:-/0                  | 0-9:a             | 0-9:a/1 10-65535:-/0                               |
      | 0-65535:a/4                  | 100-199:b         | 0-99:a/4 100-199:b/5 200-65535:a/4                 |
      | 0-99:a/4 100-65535:b/3       | 50-149:c          | 0-49:a/4 50-149:c/5 150-65535:b/3                  |
      | 0-99:a/4 100-65535:b/3       | 0-99:b 100-199:a  | 0-99:b/5 100-199:a/5 200-65535:b/3                 |
      | 0-99:a/4 100-65535:b/3       | 0-65535:a         | 0-65535:a/5                                        |
      | 0-9:a/1 10-19:b/2 20-65535:a/1 | 10-19:a         | 0-9:a/1 10-19:a/3 20-65535:a/1                     |

  Scenario: Gifts with a handover token stay apart from their neighbours
    Given an assignment "0-65535:a/1"
    When it is given "0-9:b:token 10-19:b"
    Then the assignment is "0-9:b/2:token 10-19:b/2 20-65535:a/1"

  Scenario: An assignment survives the store
    Given an assignment "0-99:a/4 100-65535:b/3"
    When it is given "5-6:c:token"
    Then it is the same after encoding and decoding

  Scenario Outline: Malformed bytes are no assignment
    Then the bytes "<hex>" are no assignment

    Examples:
      | hex      |
      | 00       |
      | 93010190 |
      | 930190   |
      | c1       |

  Scenario: A fence is above all earlier ones whoever gives the keys
    Given an assignment "0-65535:-/0"
    When 200 random gifts are made with seed 11
    Then each gift's fence was above all fences that its keys had
