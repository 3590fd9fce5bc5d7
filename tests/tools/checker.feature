Feature: The record checker reports inconsistent records of a run

  Scenario Outline: Exactly the violations in the records are reported
    Given the upstream records for the checker
      | server | request | idempotency | key | shard | fence | start | end | committed |
      | d-1    | r1      | i1          | k   | 3     | 5     | 10    | 20  | yes       |
      | <run>  |         |             |     |       |       |       |     |           |
    And the caller records for the checker
      | request | idempotency | method | status | verdict | refusal | fault |
      | r1      | i1          | POST   | 200    | ran     |         |       |
      | <sent>  |             |        |        |         |         |       |
    When the checker checks the records
    Then the checker reports exactly the violations "<rules>"

    Examples: records with violations
      | run                            | sent                               | rules                      |
      | d-2,r2,i2,k,3,5,15,25,yes      | r2,i2,POST,200,ran,,               | two-owners                 |
      | d-2,r2,i2,k,3,6,19,21,yes      | r2,i2,POST,200,ran,,               | two-owners                 |
      | d-2,r2,i2,k,3,4,30,40,yes      | r2,i2,POST,200,ran,,               | fence-fell                 |
      | d-1,r2,i1,k,3,5,30,40,yes      | r2,i1,POST,200,ran,,               | ran-twice                  |
      | d-1,r2,i2,k,3,5,30,40,yes      | r2,i2,POST,503,not-run,shed,       | not-run-but-ran            |
      | d-1,r2,i2,k,3,5,30,40,yes      | r9,i2,POST,503,not-run,shed,       | not-run-but-ran            |
      | d-1,r2,,k,3,5,30,40,yes        | r2,,GET,504,not-run,deadline,      | not-run-but-ran            |
      | d-1,r2,i2,k,3,5,30,40,no       | r2,i2,POST,200,ran,,               | acknowledged-but-missing   |
      | d-1,r2,i2,k,3,5,30,40,yes      | r3,i3,POST,200,ran,,               | acknowledged-but-missing   |
      | d-1,r2,,k,3,5,30,40,yes        | r3,,GET,200,ran,,                  | ran-but-missing            |
      | d-1,r2,i2,k,3,5,30,40,no       | r2,i2,POST,502,ran,answer-broken,  | ran-but-missing            |
      | d-1,r2,,k,3,5,30,40,yes        | r2,,GET,200,ran,,key               | wrong-answer               |
      | d-2,r2,i1,k,3,4,15,25,yes      | r2,i1,POST,200,ran,,               | two-owners fence-fell ran-twice |

    Examples: records without violations
      | run                            | sent                               | rules                      |
      | d-1,r2,i2,k,3,5,15,25,yes      | r2,i2,POST,200,ran,,               |                            |
      | d-2,r2,i2,k,3,6,20,30,yes      | r2,i2,POST,200,ran,,               |                            |
      | d-2,r2,i2,k,4,5,15,25,yes      | r2,i2,POST,200,ran,,               |                            |
      | d-2,r2,i2,k,3,4,15,25,no       | r2,i2,POST,409,not-run,fenced,     |                            |
      | b-2,r2,,,-1,0,15,25,yes        | r2,,GET,200,ran,,                  |                            |
      | d-1,r2,i2,k,3,5,30,40,yes      | r2,i2,POST,502,may-have-run,peer-lost, |                        |
      | d-1,r2,i2,k,3,5,30,40,no       | r2,i2,POST,502,may-have-run,peer-lost, |                        |
      | d-1,r2,i2,k,3,5,30,40,yes      | ,i2,POST,0,,,reset                 |                            |
      | d-1,r2,i2,k,3,5,30,40,no       | r3,i1,POST,200,ran,,               |                            |
      | d-1,r2,i2,k,3,5,30,40,no       | r3,i1,POST,409,not-run,in-progress,  |                          |

  Scenario: An incomplete last line is skipped
    Given a record file for the checker with a truncated last line
    When the checker reads the record file
    Then the checker has read 1 record
