Feature: Dispatch of callers' requests, retries and responses

  Scenario Outline: Response to the caller by the outcomes that nodes report
    Given a dispatcher whose keys are owned by node n2
    When a <kind> request arrives and its sends end with "<outcomes>"
    Then it was sent <sent> times
    And the caller receives the status <status>

    Examples: shed is refused by the server, full by its queue; gone had no connection; unknown may have run, as may late, whose deadline has passed
      | kind       | outcomes        | sent | status |
      | repeatable | ran             | 1    | 200    |
      | repeatable | unknown ran     | 2    | 200    |
      | repeatable | unknown unknown | 2    | 502    |
      | repeatable | shed ran        | 2    | 200    |
      | repeatable | shed shed       | 2    | 503    |
      | repeatable | unknown shed    | 2    | 502    |
      | repeatable | full            | 1    | 503    |
      | repeatable | gone            | 1    | 503    |
      | repeatable | late            | 1    | 504    |
      | once       | ran             | 1    | 200    |
      | once       | unknown         | 1    | 502    |
      | once       | late            | 1    | 504    |
      | once       | shed ran        | 2    | 200    |
      | once       | shed unknown    | 2    | 502    |
      | once       | full            | 1    | 503    |

  Scenario Outline: Invalid requests are refused before they are sent
    Given a dispatcher whose keys are owned by node n2
    When a request arrives that <fault>
    Then it was sent 0 times
    And the caller receives the status <status>

    Examples:
      | fault        | status |
      | has no id    | 400    |
      | has no key   | 400    |
      | has no route | 404    |

  # CONFIG, DENIED: a node that was behind refused a route that had been added.
  Scenario Outline: A request without a route is refused by a confirmed configuration only
    Given a dispatcher whose keys are owned by node n2
    And the store has confirmed the configuration 2 s ago
    When a request arrives that has a route added later
    Then the request waits, and the configuration is checked
    When <end>
    Then it was sent <count> times
    And <result>

    Examples:
      | end                                           | count | result                          |
      | a check of the configuration finds the route  | 1     | the caller has no response yet  |
      | a check of the configuration finds no change  | 0     | the caller receives the status 404 |
      | a check of the configuration fails            | 0     | the caller receives the status 503 |
      | 0.5 s pass without an answer of the store     | 0     | the caller receives the status 503 |

  # LOST: a request that waited to be sent again was cut when the process ended.
  Scenario: A request that a server has refused gets a final answer when the process ends
    Given a dispatcher whose keys are owned by node n2
    When a repeatable request arrives, is refused by its server, and the process ends
    Then it was sent 1 times
    And the caller receives the status 503

  Scenario: Requests are refused while the node has no configuration
    Given a dispatcher without a configuration
    When a repeatable request arrives and its sends end with ""
    Then it was sent 0 times
    And the caller receives the status 503

  Scenario: A request that is known to crash servers isn't sent to another node
    Given a dispatcher whose keys are owned by node n2
    And requests for /once/x are known to crash servers
    When a once request arrives and its sends end with ""
    Then it was sent 0 times
    And the caller receives the status 503

  Scenario: A lost link fails a request that may run only once, as it may have run
    Given a dispatcher whose keys are owned by node n2
    When a once request arrives and its sends end with ""
    And the link to n2 is lost
    Then it was sent 1 times
    And the caller receives the status 502

  # Requests went to a frozen node until its link was lost after 2.5 s.
  Scenario: A silent node gets no new requests until it replies
    Given a dispatcher whose keys are owned by node n2
    When a repeatable request arrives and its sends end with ""
    And 500 ms pass without a reply
    And another repeatable request arrives
    Then it was sent 1 times
    When n2 replies to its probe
    Then it was sent 2 times

  Scenario: What was sent to a silent node isn't given up or sent elsewhere
    Given a dispatcher whose keys are owned by node n2
    When a once request arrives and its sends end with ""
    And 900 ms pass without a reply
    Then it was sent 1 times
    And the caller has no response yet

  Scenario: A request for a key of a long silent node is refused at once
    Given a dispatcher whose keys are owned by node n2
    When a repeatable request arrives and its sends end with ""
    And 1200 ms pass without a reply
    And another repeatable request arrives
    Then it was sent 1 times
    And the caller receives the status 503

  # It was refused although a slower server had free slots.
  Scenario Outline: A request that a queue refuses is offered to other servers
    Given a dispatcher with a route that is split 90 to 10
    And <count> nodes beside servers of its first service
    When a request for it arrives, and the queues of all nodes refuse it
    Then it was sent <sent> times, each time to another node
    And the caller receives the status 503

    Examples:
      | count | sent |
      | 1     | 1    |
      | 2     | 2    |
      | 5     | 3    |

  Scenario: A request is cancelled when its caller disconnects
    Given a dispatcher whose keys are owned by node n2
    When a repeatable request arrives and its sends end with ""
    And its caller disconnects
    Then node n2 receives a request to cancel it

  Scenario: At shutdown a request that was sent is not reported as not run
    Given a dispatcher whose keys are owned by node n2
    When a once request arrives and its sends end with ""
    And the process ends
    Then the caller receives the status 504

  Scenario: A traffic split follows its weights
    Given a dispatcher with a route that is split 90 to 10
    When 200 requests arrive on that route
    Then 180 of them were sent to the first service

  # SHORT: every request was taken for a call, so that none was refused in time.
  Scenario Outline: Callers on the instance are told apart from the server's own calls
    Given a dispatcher whose keys are owned by node n2
    And a local server whose longest run has <left> ms left
    When a request with a deadline of <deadline> ms arrives from the instance's own address
    Then it is sent as <kind>

    Examples: a call expires at its parent's deadline; 0 ms are left if nothing runs
      | left | deadline | kind      |
      | 0    | 900      | no call   |
      | 1200 | 2200     | no call   |
      | 1200 | 900      | a call    |
      | 1200 | 1200     | a call    |

  # BUDGET: calls raised the allowance, which is for requests of callers only.
  Scenario Outline: Only requests of callers raise the retry budget
    Given a dispatcher whose keys are owned by node n2
    And a local server whose longest run has <left> ms left
    When 100 requests with a deadline of 900 ms arrive from the instance's own address
    Then <allowed> retries are allowed to their service

    Examples: 12.4 extra retries are this node's
      | left | allowed |
      | 0    | 28.4    |
      | 1200 | 12.4    |

  # BUDGET: the nested calls of repeated runs were not counted.
  Scenario Outline: A request isn't retried beyond what its nested calls may repeat
    Given a dispatcher whose keys are owned by node n2
    And runs at n2 make <calls> calls to "p1" each
    When a repeatable request arrives and its sends end with "shed ran"
    Then the caller receives the status <status>

    Examples: 12.4 retries to p1 are this node's
      | calls | status |
      | 2     | 200    |
      | 13    | 503    |

  # Returning callers counted as new ones, and their targets began anew.
  Scenario Outline: A caller that comes back after a refusal keeps its target
    Given a dispatcher whose keys are owned by node n2
    When a repeatable request arrives and its sends end with "<outcome>"
    And 200 ms later a request for <target> arrives
    Then it is sent as <kind>, with <left> ms to its target

    Examples: the target is 600 ms
      | outcome | target        | kind      | left |
      | full    | /repeatable/x | a return  | 400  |
      | full    | /repeatable/y | a new one | 600  |
      | ran     | /repeatable/x | a new one | 600  |

  # The bodies of refused offers filled the links of the servers that looked
  # best: 430 to 578 of 625 KB per second, five times what they ran.
  Scenario Outline: Bodies follow accepted offers while many are refused
    Given a dispatcher with a route that is split 90 to 10
    And <count> nodes beside servers that all are busy
    When a request with a body of <size> bytes arrives for them
    Then it was sent <with> its body
    And it was offered to <offers> nodes before it waited at one

    Examples:
      | count | size | with    | offers |
      | 10    | 4000 | without | 3      |
      | 10    | 400  | with    | 3      |
      | 2     | 4000 | without | 2      |

  Scenario: A body is sent once, to the node that has accepted the request
    Given a dispatcher with a route that is split 90 to 10
    And 10 nodes beside servers that all are busy
    When a request with a body of 4000 bytes arrives for them
    And the node that got it requests its body
    Then 1 bodies were sent

  Scenario Outline: A request whose body was withheld goes elsewhere when its node is lost
    Given a dispatcher with a route that is split 90 to 10
    And 10 nodes beside servers that all are busy
    When a request with a body of 4000 bytes arrives for them
    And the node that got it <fate>
    Then it was sent 2 times
    And the caller has no response yet
    When that node requests its body late
    Then 0 bodies were sent

    Examples: it can't have run there, and never will
      | fate         |
      | falls silent |
      | is lost      |

  Scenario: A request whose body was withheld is refused as not run when the process ends
    Given a dispatcher with a route that is split 90 to 10
    And 10 nodes beside servers that all are busy
    When a request with a body of 4000 bytes arrives for them
    And the process ends
    Then the caller receives the status 503
