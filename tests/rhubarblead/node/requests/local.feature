Feature: A request is sent with the grant and the time left after its wait

  # A grant from before the wait had expired, and the upstream refused the run.
  Scenario: A request that waited for a slot carries a new grant and its remaining time
    Given a node whose grants end 1000 ms after they are made
    When a request with 2000 ms left waits 60 ms for a slot
    Then its grant was made after the wait
    And the upstream was told of at most 1940 ms

  Scenario: A request whose time has passed in its wait isn't sent
    Given a node whose grants end 1000 ms after they are made
    When a request with 40 ms left waits 60 ms for a slot
    Then it is not sent, and its verdict is "not-run"
