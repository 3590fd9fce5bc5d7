Feature: What a server states about itself in its responses is heeded

  Scenario: A server that states a limit gets no more requests than that
    Given servers that state limits of "20 10.6 0.3 0" requests per second
    When each gets 60 requests per second for 6 s
    Then none gets more in 4 s than 1.5 times its limit and 5

  Scenario: A server that states that it leaves gets no more requests
    Given servers that state that they leave
    When each gets 60 requests per second for 1 s
    Then none gets a request that arrived after its first response

  Scenario Outline: A response that doesn't end is given up, and may have run
    Given a server that sends <bytes> without end
    When it gets a request
    Then the request ends within 2 s as one that may have run
    And the process has grown by less than 60 MB

    Examples: what may come without end
      | bytes             |
      | header fields     |
      | a field value     |
      | a reason phrase   |
      | trailer fields    |
      | interim responses |
      | foreign responses |
      | a body            |
