Feature: Requests are validated before they are routed

  Scenario Outline: A request that can't be routed is refused as not run
    Given the intake tables of a keyed and a balanced pool
    When the intake gets "<method> <target>" with headers "<headers>" and <size> bytes
    Then the intake refuses it as "<refusal>"

    Examples:
      | method | target         | headers                                               | size | refusal                 |
      | GET    | /unknown       |                                                       | 0    | no-route                |
      | GET    | /dispatchother | Key=a                                                 | 0    | no-route                |
      | GET    | /dispatch      |                                                       | 0    | missing-key             |
      | GET    | /dispatch      | Key=a%20b                                             | 0    | malformed               |
      | GET    | /dispatch      | Key=é                                                 | 0    | malformed               |
      | PUT    | /dispatch      | Key=a                                                 | 101  | too-large               |
      | POST   | /dispatch      | Key=a                                                 | 0    | missing-idempotency-key |
      | POST   | /dispatch      | Key=a,Idempotency-Key=x                               | 0    | missing-idempotency-key |
      | POST   | /dispatch      | Key=a,Idempotency-Key=7d444840-9dc0-41d1-b245-5ffdce74fad2 | 0 | missing-idempotency-key |
      | GET    | /dispatch      | Key=a,Rhubarb-Timeout-Ms=0                            | 0    | malformed               |
      | GET    | /dispatch      | Key=a,Rhubarb-Timeout-Ms=-5                           | 0    | malformed               |
      | GET    | /dispatch      | Key=a,Rhubarb-Timeout-Ms=soon                         | 0    | malformed               |

  Scenario Outline: An accepted request has a key, a pool and a timeout
    Given the intake tables of a keyed and a balanced pool
    When the intake gets "<method> <target>" with headers "<headers>" and <size> bytes
    Then the intake accepts it for pool "<pool>" with key "<key>" and <timeout> ms, repeatable <repeatable>

    Examples:
      | method | target       | headers                      | size | pool     | key | timeout | repeatable |
      | GET    | /dispatch    | Key=a                        | 0    | dispatch | a   | 1500    | True       |
      | GET    | /dispatch    | key=a                        | 0    | dispatch | a   | 1500    | True       |
      | PUT    | /dispatch/x  | Key=a                        | 100  | dispatch | a   | 1500    | False      |
      | GET    | /dispatch    | Key=a,Rhubarb-Timeout-Ms=40  | 0    | dispatch | a   | 40      | True       |
      | GET    | /dispatch    | Key=a,Rhubarb-Timeout-Ms=9999 | 0   | dispatch | a   | 1500    | True       |
      | POST   | /dispatch    | Key=a,Idempotency-Key=01890a5d-ac96-774b-bcce-b302099a8057 | 0 | dispatch | a | 1500 | False |
      | GET    | /maps/cam?z=1 |                             | 0    | routing  |     | 2000    | True       |
