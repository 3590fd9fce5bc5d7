Feature: A storm of configurations leaves room on the links

  # Nodes asked each other for configurations, and requests waited behind them.
  Scenario Outline: Small messages don't wait behind configurations of 1,500 routes
    When versions follow each other every 330 ms for 6 s, with <nodes> nodes, and an answer of the store is late
    Then small messages to a node take less than 30 ms in the median of 5 seeds
    And other nodes send it less than 100 kB of configurations a second
    And each version that stands is in force there within 2000 ms

    Examples: 62 nodes took 261 ms, and 531 kB of configurations a second
      | nodes |
      | 11    |
      | 62    |
      | 300   |
