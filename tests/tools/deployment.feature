Feature: Deployments are checked before they are started

  Scenario Outline: The examples are valid and have the sizes of their users
    When the deployment "<name>" is read
    Then the deployment has <keyed> keyed and <balanced> balanced servers
    And the deployment spans <domains> failure domains of "<region>"

    Examples: deployments
      | name        | keyed | balanced | domains | region     |
      | garam-jalan | 6     | 5        | 4       | my-central |
      | federation  | 7     | 4        | 3       | attica     |

  Scenario Outline: An inconsistency between files is reported
    Given the deployment "federation" with <field> of "entries-1" set to "<value>"
    When the deployment is checked
    Then the deployment has a fault at "<path>"

    Examples: inconsistencies
      | field        | value     | path      |
      | instance     | stray     | stray     |
      | instance     | entries-2 | instance  |
      | http_port    | 22010     | port      |

  Scenario: Reassigned ports are unique and keep the deployment valid
    Given the deployment "federation" with reassigned ports
    When the deployment is checked
    Then the deployment has no fault
