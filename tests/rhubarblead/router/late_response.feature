Feature: A response is taken only for the send that it answers

  # REFUSED, TWICE: an extra copy of the refusal of a request arrived when the
  # request had been sent once more, and was taken for the response to that.
  Scenario Outline: A late copy of a refusal isn't taken for the response to a later send
    Given a server that refuses the first request and repeats that <when>
    When r1 is sent
    Then the outcome is NOT_RUN
    When <next> is sent
    Then the outcome is RAN
    And the server has run <next> 1 times

    Examples: before, while or after the next request on the connection runs
      | when                                | next |
      | as the next request arrives         | r1   |
      | as the next request arrives         | r2   |
      | while the next request runs         | r1   |
      | while the next request runs         | r2   |
      | at once                             | r1   |
      | at once                             | r2   |
      | shortly afterwards                  | r1   |
      | shortly afterwards                  | r2   |

  Scenario Outline: A response without an id proves nothing
    Given a server whose <response> has no id
    When r1 is sent
    Then the outcome is MAY_HAVE_RUN
    And no connection is kept

    Examples:
      | response  |
      | refusal   |
      | success   |

  Scenario: Requests with other ids share a connection
    Given a server that refuses the first request
    When r1 is sent
    And r2 is sent
    And r3 is sent
    Then 1 connections were opened
    When r1 is sent
    Then 2 connections were opened
