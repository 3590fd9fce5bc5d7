Feature: Nodes of the production version and of this one run side by side

  # deploy/system.toml names the production version.
  Scenario: What the production version writes is understood
    Given the samples of the production version
    When this version decodes them
    Then none is refused, and each keeps its values

  Scenario: What this version writes is understood, or announced first
    Given the samples of this version
    When the production version decodes them
    Then it refuses at most the kinds that nodes must ask for
    And the values that it reads are those that were written

  Scenario Outline: What a later version may write is refused or understood
    Given a message of <kind>
    When a later version <change>
    Then this version <reaction>

    Examples: a field is added at the end; a kind gets a new number
      | kind  | change             | reaction                   |
      | State | adds a field       | reads the fields it knows  |
      | Work  | adds a field       | reads the fields it knows  |
      | State | uses a new kind    | refuses the message only   |
      | State | changes a type     | refuses the message only   |

  Scenario: Nodes that don't request bodies get them along with the request
    Given the state of a node of a version without withheld bodies
    Then it says that it doesn't request bodies
