Feature: The upstream stand-in checks grants at the start and at the commit

  Scenario Outline: A grant whose expiry is extended under its id
    Given a fenced upstream stand-in at 1000 on its clock
    When a grant of "m" until <own> is extended for "<id>" until <extended>
    Then the stand-in's start ends in "<start>" and its commit in "<commit>"

    Examples:
      | own  | id    | extended | start   | commit  |
      | 2000 | m     | 0        | runs    | commits |
      | 900  | m     | 0        | expired | expired |
      | 900  | m     | 2000     | expired | commits |
      | 900  | other | 2000     | expired | expired |
      | 1000 | m     | 1000     | expired | expired |
