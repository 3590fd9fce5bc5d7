Feature: A request is answered once, truly, and sent again only where it may be

  Scenario Outline: What callers are told, by what the nodes say
    Given an entry whose keys belong to node n2
    When a <kind> request comes, and its sendings end with "<outcomes>"
    Then it was sent <sent> times
    And the caller has the status <status>

    Examples: ran, shed (arrived, not run), full, gone, doubt (may have run), late (may have run, time over)
      | kind       | outcomes     | sent | status |
      | repeatable | ran          | 1    | 200    |
      | repeatable | doubt ran    | 2    | 200    |
      | repeatable | doubt doubt  | 2    | 502    |
      | repeatable | shed ran     | 2    | 200    |
      | repeatable | shed shed    | 2    | 503    |
      | repeatable | doubt shed   | 2    | 502    |
      | repeatable | full         | 1    | 503    |
      | repeatable | gone         | 1    | 503    |
      | repeatable | late         | 1    | 504    |
      | once       | ran          | 1    | 200    |
      | once       | doubt        | 1    | 502    |
      | once       | late         | 1    | 504    |
      | once       | shed ran     | 2    | 200    |
      | once       | shed doubt   | 2    | 502    |
      | once       | full         | 1    | 503    |

  Scenario Outline: Requests that can't be sent anywhere
    Given an entry whose keys belong to node n2
    When a request comes that <fault>
    Then it was sent 0 times
    And the caller has the status <status>

    Examples:
      | fault              | status |
      | has no id          | 400    |
      | has no key         | 400    |
      | has no route       | 404    |

  Scenario: Without a configuration nothing is known of any route
    Given an entry without a configuration
    When a repeatable request comes, and its sendings end with ""
    Then it was sent 0 times
    And the caller has the status 503

  Scenario: A lost link leaves a request that may run once in doubt
    Given an entry whose keys belong to node n2
    When a once request comes, and its sendings end with ""
    And the link to n2 is lost
    Then it was sent 1 times
    And the caller has the status 502

  Scenario: A caller that leaves has its request withdrawn
    Given an entry whose keys belong to node n2
    When a repeatable request comes, and its sendings end with ""
    And its caller leaves
    Then the node n2 was told to drop it

  Scenario: At the end of the process a request that was sent isn't called not run
    Given an entry whose keys belong to node n2
    When a once request comes, and its sendings end with ""
    And the process ends
    Then the caller has the status 504

  Scenario: A split keeps to its weights
    Given an entry with a route that is split 90 to 10
    When 200 requests come on that route
    Then 180 of them went to the first service
