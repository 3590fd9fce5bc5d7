Feature: The nested calls of a run are estimated from the latest runs

  Scenario Outline: Calls per run
    Given <runs> runs at a server, with <calls> calls to s each
    Then a run makes <estimate> calls to s

    Examples: a few runs say nothing
      | runs | calls | estimate |
      | 9    | 1     | no       |
      | 10   | 1     | 1        |
      | 100  | 2     | 2        |
      | 100  | 0     | no       |

  Scenario: Runs of long ago count less and less
    Given 200 runs at a server, with 2 calls to s each
    And 1000 runs at a server, with 0 calls to s each
    Then a run makes fewer than 0.1 calls to s
