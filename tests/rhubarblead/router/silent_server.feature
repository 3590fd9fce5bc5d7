Feature: Requests at a server whose heartbeats stay away

  # LOST: after SIGTERM a late heartbeat ended a request at which its server was
  # at work, with 502.
  Scenario Outline: A planned stop breaks off no request at a silent server
    Given a node whose server needs 200 ms for each request
    And the node "<node>" is being stopped
    When a <kind> request of node "<origin>" is at work
    And the server is taken for gone
    Then the outcome of the request is <outcome>

    Examples: requests that may be repeated can run elsewhere
      | node | kind       | origin | outcome      |
      | n1   | repeatable | n1     | RAN          |
      | n2   | repeatable | n2     | RAN          |
      | n2   | repeatable | n3     | MAY_HAVE_RUN |
      | none | repeatable | n1     | MAY_HAVE_RUN |
      | none | once       | n1     | RAN          |
