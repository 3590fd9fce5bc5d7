Feature: Jobs that fail are reported and answered for

  Scenario Outline: A write whose job raises an error
    Given store jobs whose log raises "<error>"
    When the store jobs <action> a proposal
    Then the store jobs post the write as "<outcome>"
    And an internal error is in the time line

    Examples:
      | action  | error       | outcome  |
      | write   | CannotApply | NotDone  |
      | write   | KeyError    | InDoubt  |
      | write   | OSError     | InDoubt  |
      | resolve | CannotApply | InDoubt  |
      | resolve | KeyError    | InDoubt  |

  Scenario: A plan that raises an error ends, and another may begin
    Given plan jobs for a pool that the state doesn't know
    When the plan jobs plan for it
    Then the plan jobs post a plan without changes
    And an internal error is in the time line
    And the plan jobs may plan again
