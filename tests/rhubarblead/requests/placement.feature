Feature: A request without a key goes where it is expected to end first

  Scenario Outline: Choice among instances
    Given places "<places>"
    When a <kind> is placed, refused by "<refused>", not at "<excluded>"
    Then it goes to <choice>

    Examples: places are name:domain:free:wait ms:age ms:run ms, the caller is in domain h
      | kind     | places                            | refused | excluded | choice       |
      | lookup   | a:h:1:0:0:200 b:x:1:0:0:200           |         |          | a            |
      | lookup   | a:h:0:300:0:200 b:x:1:0:0:200         |         |          | b            |
      | lookup   | a:h:0:300:9000:200 b:x:1:0:0:200      |         |          | a            |
      | lookup   | a:h:1:0:0:800 b:x:1:0:0:200           |         |          | b            |
      | lookup   | a:h:1:0:0:200 b:x:1:0:0:200           | a:90    |          | b            |
      | lookup   | a:h:1:0:0:200 b:x:1:0:0:200           | a:90 b:300 |       | a may wait   |
      | lookup   | a:h:1:0:0:200 b:x:1:0:0:200           |         | a        | b            |
      | lookup   | a:h:1:0:0:200                       |         | a        | nowhere      |
      | download | a:h:0:300:0:200 b:x:1:0:0:200         |         |          | a            |
      | download | a:h:1:0:0:200 b:x:1:0:0:200           | a:300   |          | a may wait   |
      | download | a:h:0:900:0:200 b:x:1:0:0:200         | a:900   |          | b            |
