Feature: Requests are kept from a server whose responses all fail

  Scenario Outline: Failures one after the other, without a good response between
    Given a server with the results "<results>", each of a request of its own
    Then a new request <may> be sent to it

    Examples:
      | results                     | may     |
      | fail fail fail              | may     |
      | fail fail fail fail         | may not |
      | fail fail fail ok fail fail | may     |
      | fail fail fail fail ok      | may     |

  Scenario: Requests that fail together count once
    Given a server at which 18 requests fail together
    Then a new request may be sent to it

  Scenario: A failing server is tried with requests that may run twice
    Given a server with the results "fail fail fail fail", each of a request of its own
    Then a new request may not be sent to it
    When 500 ms pass for the breaker
    Then a request that may not run twice may not be sent to it
    And a new request may be sent to it
    And a new request may not be sent to it

  # A service all of whose requests may run only once had lost its server for good.
  Scenario: Without other requests one that may not run twice tries the server
    Given a server with the results "fail fail fail fail", each of a request of its own
    When 1900 ms pass for the breaker
    Then a request that may not run twice may not be sent to it
    When 100 ms pass for the breaker
    Then a request that may not run twice may be sent to it
    And a request that may not run twice may not be sent to it
