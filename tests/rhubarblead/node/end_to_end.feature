Feature: A small deployment serves its callers through real processes

  Background:
    Given a whole path of 3 keyed and 2 balanced servers

  Scenario Outline: A keyed request reaches the owner, whichever node it enters
    When the whole path gets a keyed <method> for 8 keys at every node
    Then on the whole path every answer is 200 and "ran"
    And on the whole path each key is answered by its owner alone

    Examples: methods that the route doesn't declare as unrepeatable
      | method |
      | GET    |
      | PUT    |

  Scenario: An unrepeatable request runs once, and sent again gives its answer
    When the whole path gets one keyed POST at every node in turn
    Then on the whole path every answer is 200 and "ran"
    And on the whole path the upstreams committed the POST once

  Scenario: A balanced request is answered by any server of its pool
    When the whole path gets 12 balanced GETs at once at every node
    Then on the whole path every answer is 200 and "ran"
    And on the whole path only balanced servers answer, and each of them

  Scenario Outline: A request that can't be served is refused as not run
    When the whole path gets a wrong request, <wrong>
    Then on the whole path the answer is <status> "<refusal>" and not run

    Examples: wrong requests
      | wrong                           | status | refusal                 |
      | to an unknown route             | 404    | no-route                |
      | without a key                   | 400    | missing-key             |
      | without an idempotency key      | 400    | missing-idempotency-key |
      | with another idempotency key    | 400    | missing-idempotency-key |
      | that is too large               | 413    | too-large               |
      | that is malformed               | 400    | malformed               |

  Scenario: The keys of a lost server are served elsewhere
    When the whole path loses a keyed server with its node
    Then on the whole path every key is served by another server
