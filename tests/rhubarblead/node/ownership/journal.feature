Feature: Revisions of a node only rise

  Scenario Outline: News changes the journal only forwards and without gaps
    Given a journal with ownership revision 3 and tables revision 2
    When the journal gets entries "<entries>" and tables revision <tables>
    Then the journal has ownership revision <ownership> and tables revision <after>

    Examples:
      | entries | tables | ownership | after |
      | 4       | 0      | 4         | 2     |
      | 4 5     | 3      | 5         | 3     |
      | 2 3 4   | 1      | 4         | 2     |
      | 5       | 2      | 3         | 2     |
      | 4 6     | 0      | 3         | 2     |
      | 1 2     | 0      | 3         | 2     |
      |         | 9      | 3         | 9     |

  Scenario: Tables that are not valid don't replace those in force
    Given a journal with ownership revision 3 and tables revision 2
    When the journal gets broken tables with revision 5
    Then the journal has ownership revision 3 and tables revision 2

  Scenario Outline: A journal tells what another node has not heard
    Given a journal with ownership revision 3 and tables revision 2
    When a node with ownership revision <ownership> and tables revision <tables> asks the journal
    Then the journal tells entries "<entries>" and tables revision <told>

    Examples:
      | ownership | tables | entries | told |
      | 3         | 2      |         | 0    |
      | 1         | 2      | 2 3     | 0    |
      | 3         | 1      |         | 2    |
      | 0         | 0      | 1 2 3   | 2    |
      | 9         | 9      |         | 0    |
