Feature: Links between nodes notice that the other end is silent

  # Only the connecting end sends heartbeats; both ends sent them before.
  Scenario: Both ends of a link give up a connection that has gone silent
    Given a node with a link to another one through a proxy
    When it sends a message
    Then the other node receives it
    When 2 s pass without messages
    And the proxy silences the connection
    Then the node sees the link go down within 8 s
    And the other node can't reply any more within 8 s

  Scenario: A link at rest stays up
    Given a node with a link to another one through a proxy
    When 4 s pass without messages
    Then the link has not gone down
