Feature: Whole requests and answers, in order, and nothing else

  Scenario Outline: What a server sends, and what is taken for its answer
    When a server sends "<sent>"
    Then the client has <result>
    And the connection is <kept>

    Examples: a-id and b-id are answers to the request and to another one, each with the body "body" (short: half of it, open: without a length), garbage is no HTTP; then the server closes, resets or keeps the connection
      | sent                     | result             | kept   |
      | a-id keep                | the whole answer   | kept   |
      | a-id close               | the whole answer   | closed |
      | open-a-id close          | the whole answer   | closed |
      | open-a-id reset          | closed             | closed |
      | short-a-id close         | closed             | closed |
      | short-a-id reset         | closed             | closed |
      | close                    | closed             | closed |
      | reset                    | closed             | closed |
      | garbage keep             | malformed          | closed |
      | a-id b-id keep           | the whole answer   | closed |
      | b-id a-id keep           | the whole answer   | closed |
      | a-id garbage keep        | the whole answer   | closed |
      | chunked-a-id keep        | the whole answer   | kept   |
      | interim a-id keep        | the whole answer   | kept   |

  Scenario: A server that refuses connections has certainly not run anything
    When no server listens
    Then the client has no connection

  Scenario: Answers go back in the order of the requests
    Given a caller's connection
    When the caller sends 3 requests at once
    And they are answered in the order "3 1 2"
    Then the caller reads the answers "1 2 3"

  Scenario: The last answer before a stop closes the connection
    Given a caller's connection
    When the server of callers closes gently
    And the caller sends 2 requests at once
    And they are answered in the order "2 1"
    Then the caller reads the answers "1"
    And the caller's connection has ended

  Scenario Outline: Bodies come whole, however they are framed
    Given a caller's connection
    When the caller sends a body <how>
    Then the handler has the body "some bytes"

    Examples:
      | how              |
      | with a length    |
      | in chunks        |
      | byte by byte     |

  Scenario: A caller that leaves is noticed while its request waits
    Given a caller's connection
    When the caller sends 2 requests at once
    And the caller closes its connection
    Then both requests are told that their caller has gone

  Scenario Outline: What can't be read is refused, and ends the connection
    Given a caller's connection
    When the caller sends <what>
    Then the caller reads the status <status>
    And the caller's connection has ended

    Examples:
      | what                     | status |
      | no HTTP                  | 400    |
      | too large a header       | 431    |
      | too large a body         | 413    |
      | a length and chunks      | 400    |
