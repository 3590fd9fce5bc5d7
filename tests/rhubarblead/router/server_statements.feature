Feature: What a server states about itself in its responses is heeded

  Scenario: A server that states a limit gets no more requests than that
    Given servers that state limits of "20 10.6 0.3 0" requests per second
    When each gets 60 requests per second for 6 s
    Then none gets more in 4 s than 1.5 times its limit and 5

  Scenario: A server that states that it leaves gets no more requests
    Given servers that state that they leave
    When each gets 60 requests per second for 1 s
    Then none gets a request that arrived after its first response

  Scenario Outline: A limit counts only if the server itself states it, once, as a decimal number
    Given a server whose limit of 5 is known
    When a response <kind> states "<fields>"
    Then the limit is <limit>
    And the response goes to the caller with the same fields
    And <count> malformed limits are reported

    Examples: a response without a limit ends it; a malformed one changes nothing
      | kind                   | fields                              | limit | count |
      | of the server          | server-limit: 10.6                  | 10.6  | 0     |
      | of the server          | server-limit: 0                     | 0     | 0     |
      | of the server          | server-limit: .5                    | 0.5   | 0     |
      | of the server          | server-load: 1,2,3                  | none  | 0     |
      | of the server          | server-limit: 1e3                   | 5     | 1     |
      | of the server          | server-limit: -1                    | 5     | 1     |
      | of the server          | server-limit: nan                   | 5     | 1     |
      | of the server          | server-limit: inf                   | 5     | 1     |
      | of the server          | server-limit: 1,5                   | 5     | 1     |
      | of the server          | server-limit: 9999999999999999999   | 5     | 1     |
      | of the server          | server-limit: 7; server-limit: 7    | 5     | 1     |
      | of the server, 9 times | server-limit: many                  | 5     | 1     |
      | without a seal         | server-limit: 7                     | 5     | 0     |
      | without an id          | server-limit: 7                     | 5     | 0     |
      | without a seal         | server-load: 1,2,3                  | 5     | 0     |
      | of an earlier process  | server-limit: 7                     | 5     | 0     |
      | of an earlier process  | server-load: 1,2,3                  | 5     | 0     |

  Scenario: A new process of a server has no limit
    Given a server whose limit of 5 is known
    When it starts again
    Then the limit is none

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
