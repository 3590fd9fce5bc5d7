Feature: State charts are validated when loaded

  Scenario Outline: An invalid chart is refused
    When the chart <text> is parsed
    Then the chart is refused

    Examples: faults
      | text                                                                                                                                                                             |
      | {"name": "c", "initial": "b", "states": ["a"], "transitions": []}                                                                                                                |
      | {"name": "c", "initial": "a", "states": ["a", "b"], "transitions": []}                                                                                                           |
      | {"name": "c", "initial": "a", "states": ["a", "a"], "transitions": []}                                                                                                           |
      | {"name": "c", "initial": "a", "states": ["a"], "transitions": [{"event": "e", "source": "a", "dest": "z"}]}                                                                       |
      | {"name": "c", "initial": "a", "states": ["a"], "transitions": [{"event": "e", "source": "a", "dest": "a"}, {"event": "e", "source": "a", "dest": "a"}]}                           |
      | {"name": "c", "initial": "a", "states": ["a"], "transitions": [], "surplus": 1}                                                                                                  |

  Scenario Outline: Events lead to the next state in the charts of the package
    When the event "<event>" occurs in state "<state>" of chart "<chart>"
    Then the chart returns "<after>"

    Examples: events
      | chart  | state      | event    | after             |
      | shard  | owned      | close    | draining          |
      | shard  | draining   | reopen   | owned             |
      | shard  | committing | in_doubt | committing        |
      | shard  | committing | reopen   | InvalidTransition |
      | shard  | released   | reopen   | InvalidTransition |
      | shard  | owned      | commit   | InvalidTransition |
      | lease  | lapsed     | promised | held              |
      | lease  | lost       | promised | InvalidTransition |
      | member | gone       | joined   | InvalidTransition |
      | member | serving    | no_such  | InvalidTransition |
