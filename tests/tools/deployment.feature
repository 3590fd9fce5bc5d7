Feature: Deployments are checked before they are started

  Scenario Outline: The examples are valid and as large as their users
    When the deployment "<name>" is read
    Then the deployment has <keyed> keyed and <balanced> balanced servers
    And the deployment stands in <domains> failure domains of "<region>"

    Examples: deployments
      | name        | keyed | balanced | domains | region     |
      | garam-jalan | 6     | 5        | 4       | my-central |
      | federation  | 7     | 4        | 3       | attica     |

  Scenario Outline: A contradiction between files is named
    Given the deployment "federation" with <field> of "entries-1" as "<value>"
    When the deployment is checked
    Then the deployment has a fault at "<path>"

    Examples: contradictions
      | field        | value     | path      |
      | instance     | stray     | stray     |
      | instance     | entries-2 | instance  |
      | http_port    | 22010     | port      |

  Scenario: New ports are all different and keep the rest
    Given the deployment "federation" with other ports
    When the deployment is checked
    Then the deployment has no fault
