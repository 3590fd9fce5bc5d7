Feature: An outcome has a single verdict

  Scenario Outline: The verdict of all attempts replaces that of the last
    Given an outcome with verdict "<last>" that is <kind>
    When the outcome gets the verdict "<all>" of all attempts
    Then every verdict in the outcome is "<all>"

    Examples:
      | last    | kind      | all          |
      | not-run | a refusal | may-have-run |
      | not-run | a refusal | not-run      |
      | ran     | an answer | ran          |

  Scenario: A refusal keeps its verdict in a reply between nodes
    Given an outcome with verdict "not-run" that is a refusal
    When the outcome gets the verdict "may-have-run" of all attempts
    And the outcome is encoded and decoded as a reply between nodes
    Then every verdict in the outcome is "may-have-run"
