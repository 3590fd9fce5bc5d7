Feature: Requests that crash servers are told from others in simulated traffic

  # BUDGET: equal requests of others cleared a request that crashed servers.
  Scenario Outline: A request that crashes servers is refused after three
    When traffic with <case> is simulated for 60 s with 5 seeds
    Then at most 3 servers were crashed by one request
    And fewer than 2 of 1000 requests for other targets were refused

    Examples:
      | case                    |
      | no equal requests       |
      | rank 200                |
      | rank 20                 |
      | rank 2, a hot key       |
      | rank 200, other crashes |
      | no keys, rank 20        |

  Scenario Outline: Crashes with another cause hardly make a request refused
    When traffic with <case> is simulated for 60 s with 5 seeds
    Then fewer than 2 of 1000 requests for other targets were refused

    Examples:
      | case                        |
      | other crashes only          |
      | other crashes, a hot key    |
      | other crashes, no keys      |
      | half of the servers at once |
