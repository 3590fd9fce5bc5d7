Feature: The stand-in of a keyed server is full in each of the platform's ways

  Scenario Outline: A request above the slots
    Given a stand-in server without slots that, when full, has the way "<way>"
    When two requests are sent to it on one connection
    Then the connection shows "<outcome>" within <time> ms

    Examples:
      | way    | outcome                      | time |
      | reset  | a reset                      | 5000 |
      | hang   | nothing                      | 500  |
      | refuse | two refusals as not executed | 5000 |
