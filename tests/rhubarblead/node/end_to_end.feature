Feature: A small deployment of real processes serves its callers

  Background:
    Given a running deployment of 3 keyed and 2 balanced servers

  Scenario Outline: Every node routes a keyed request to its owner
    When callers send a keyed <method> for 8 keys to every node
    Then every response of the nodes is 200 and "ran"
    And only the owner of a key responds to its requests

    Examples: methods that the route doesn't declare as unrepeatable
      | method |
      | GET    |
      | PUT    |

  Scenario: A repeated unrepeatable request runs once and gets the same response
    When a caller sends one keyed POST to every node in turn
    Then every response of the nodes is 200 and "ran"
    And the upstreams have committed the POST once

  Scenario: Balanced requests are spread over the servers of their pool
    When callers send 12 concurrent balanced GETs to every node
    Then every response of the nodes is 200 and "ran"
    And each balanced server has responded, and no other server

  Scenario Outline: A request that can't be served is refused as not run
    When a caller sends a wrong request to a node, <wrong>
    Then the response of the node is <status> "<refusal>" and not run

    Examples: wrong requests
      | wrong                           | status | refusal                 |
      | to an unknown route             | 404    | no-route                |
      | without a key                   | 400    | missing-key             |
      | without an idempotency key      | 400    | missing-idempotency-key |
      | with another idempotency key    | 400    | missing-idempotency-key |
      | that is too large               | 413    | too-large               |
      | that is malformed               | 400    | malformed               |

  Scenario: Other servers take over the keys of a killed server
    When a keyed server and its node are killed
    Then other servers serve the keys of the killed server
