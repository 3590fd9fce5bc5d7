Feature: An outcome says one verdict only

  Scenario Outline: The verdict of all tries replaces that of the last
    Given an outcome with verdict "<last>" that is <kind>
    When the outcome gets the verdict "<all>" over all tries
    Then the outcome says "<all>" wherever it says a verdict

    Examples:
      | last    | kind      | all          |
      | not-run | a refusal | may-have-run |
      | not-run | a refusal | not-run      |
      | ran     | an answer | ran          |

  Scenario: A refusal keeps its verdict between nodes
    Given an outcome with verdict "not-run" that is a refusal
    When the outcome gets the verdict "may-have-run" over all tries
    And the outcome travels to another node
    Then the outcome says "may-have-run" wherever it says a verdict
