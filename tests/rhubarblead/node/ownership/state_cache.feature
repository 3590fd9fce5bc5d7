Feature: A node's revisions only increase

  Scenario Outline: An update advances the state cache without gaps
    Given a state cache with ownership revision 3 and tables revision 2
    When the state cache receives entries "<entries>" and tables revision <tables>
    Then the state cache has ownership revision <ownership> and tables revision <after>

    Examples:
      | entries | tables | ownership | after |
      | 4       | 0      | 4         | 2     |
      | 4 5     | 3      | 5         | 3     |
      | 2 3 4   | 1      | 4         | 2     |
      | 5       | 2      | 3         | 2     |
      | 4 6     | 0      | 3         | 2     |
      | 1 2     | 0      | 3         | 2     |
      |         | 9      | 3         | 9     |

  Scenario: Invalid tables do not replace those in force
    Given a state cache with ownership revision 3 and tables revision 2
    When the state cache receives invalid tables with revision 5
    Then the state cache has ownership revision 3 and tables revision 2

  Scenario Outline: A state cache makes updates for nodes with older revisions
    Given a state cache with ownership revision 3 and tables revision 2
    When a node with ownership revision <ownership> and tables revision <tables> requests an update from the state cache
    Then the update has entries "<entries>" and tables revision <update>

    Examples:
      | ownership | tables | entries | update |
      | 3         | 2      |         | 0      |
      | 1         | 2      | 2 3     | 0      |
      | 3         | 1      |         | 2      |
      | 0         | 0      | 1 2 3   | 2      |
      | 9         | 9      |         | 0      |
