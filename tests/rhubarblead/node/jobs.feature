Feature: Failed jobs are reported and have a result

  Scenario Outline: The job of a write raises an exception
    Given store jobs whose log raises "<error>"
    When the store jobs <action> a proposal
    Then the store jobs post the write as "<outcome>"
    And an internal error is in the timeline

    Examples:
      | action  | error       | outcome  |
      | write   | CannotApply | NotDone  |
      | write   | KeyError    | InDoubt  |
      | write   | OSError     | InDoubt  |
      | resolve | CannotApply | InDoubt  |
      | resolve | KeyError    | InDoubt  |

  Scenario: After a plan raises an exception, another may begin
    Given plan jobs for a pool that is not in the state
    When the plan jobs plan for it
    Then the plan jobs post a plan without changes
    And an internal error is in the timeline
    And the plan jobs may plan again
