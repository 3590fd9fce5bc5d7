Feature: A request without a key goes where it is expected to end first

  Scenario Outline: Choice among instances
    Given places "<places>"
    When a <kind> is placed, refused by "<refused>", not at "<excluded>"
    Then it goes to <choice>

    Examples: places are name:domain:wait ms:age ms:run ms, the caller is in domain h
      | kind     | places                            | refused | excluded | choice       |
      | lookup   | a:h:0:0:200 b:x:0:0:200           |         |          | a            |
      | lookup   | a:h:300:0:200 b:x:0:0:200         |         |          | b            |
      | lookup   | a:h:300:9000:200 b:x:0:0:200      |         |          | a            |
      | lookup   | a:h:0:0:800 b:x:0:0:200           |         |          | b            |
      | lookup   | a:h:0:0:200 b:x:0:0:200           | a:90    |          | b            |
      | lookup   | a:h:0:0:200 b:x:0:0:200           | a:90 b:300 |       | a may wait   |
      | lookup   | a:h:0:0:200 b:x:0:0:200           |         | a        | b            |
      | lookup   | a:h:0:0:200                       |         | a        | nowhere      |
      | download | a:h:300:0:200 b:x:0:0:200         |         |          | a            |
      | download | a:h:0:0:200 b:x:0:0:200           | a:300   |          | a may wait   |
      | download | a:h:900:0:200 b:x:0:0:200         | a:900   |          | b            |

  Scenario: Many nodes with the same news don't all choose the same servers
    Given 20 places of 60 ms a run and 3 of 40 ms
    When 600 lookups are placed by the same news
    Then each place gets at least 5 of them
    And no place gets more than 140

  Scenario: The fast servers are preferred among those compared
    Given 20 places of 60 ms a run and 3 of 40 ms
    When 600 lookups are placed by the same news
    Then the 3 fast ones get at least 240 together
