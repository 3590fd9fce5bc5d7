Feature: Nothing is sent to the servers of an evacuated failure domain

  # EVAC: 505 requests reached servers of an evacuated zone.
  Scenario Outline: A server is out of service in half of the time allowed
    Given a node in failure domain a beside a server of 9 slots, with <spans> ranges of keys
    And the evacuation bound is 5000 ms
    When the failure domains "<names>" are read as evacuated
    And <passed> ms pass at the node
    Then the server gets <share> requests

    Examples: keys move first, for half of the bound
      | spans | names | passed | share |
      | no    | a     | 0      | no    |
      | 3     | a     | 0      | all   |
      | 3     | a     | 2400   | all   |
      | 3     | a     | 2500   | no    |
      | 3     | b     | 2500   | all   |
      | no    | a b   | 0      | no    |
      | no    | zz    | 9000   | all   |

  Scenario: A server whose keys have moved is out of service at once
    Given a node in failure domain a beside a server of 9 slots, with 3 ranges of keys
    And the evacuation bound is 5000 ms
    When the failure domains "a" are read as evacuated
    And its keys have moved
    Then the server gets no requests

  # Probes are requests, too.
  Scenario: A server that is out of service isn't probed
    Given a node in failure domain a beside a server of 9 slots, with no ranges of keys
    And the evacuation bound is 5000 ms
    And cold servers tolerate 5.5 requests per second
    When the failure domains "a" are read as evacuated
    And the connections to its server are reset for 400 ms
    Then 0 probes were sent
    When the failure domains "" are read as evacuated
    And the connections to its server are reset for 400 ms
    Then more than 1 probes were sent

  Scenario: Waiting requests are refused as not run
    Given a node in failure domain a beside a server of 9 slots, with no ranges of keys
    And the evacuation bound is 5000 ms
    And 3 requests wait for its server
    When the failure domains "a" are read as evacuated
    Then 3 requests were refused as not run

  # DRAIN: the end of an evacuation puts no server in service that has left.
  Scenario: A server that has announced its exit isn't taken back
    Given a node in failure domain a beside a server of 9 slots, with no ranges of keys
    And the evacuation bound is 5000 ms
    When the failure domains "a" are read as evacuated
    And its server announces its exit
    And the failure domains "" are read as evacuated
    Then the server is out of service, though not for the evacuation

  Scenario Outline: A server that is taken back may be cold
    Given a node in failure domain a beside a server of 9 slots, with <spans> ranges of keys
    And the evacuation bound is 5000 ms
    And cold servers tolerate 5.5 requests per second
    When the failure domains "a" are read as evacuated
    And <passed> ms pass at the node
    And the failure domains "" are read as evacuated
    Then the server gets all requests
    And requests are held until it has said whether it is cold

    Examples: also one that is withdrawn before it is complete
      | spans | passed |
      | no    | 3000   |
      | 3     | 1000   |

  Scenario Outline: The operator's rows name the evacuated failure domains
    Given a feed of the operator's rows
    When it reads "<first>"
    And then <later>
    Then the evacuated failure domains are "<names>"

    Examples: a value has no meaning, malformed or not
      | first                       | later                                | names |
      | evacuate/a                  | nothing changes                      | a     |
      | evacuate/a evacuate/b       | nothing changes                      | a b   |
      | evacuate/a evacuate/        | nothing changes                      | a     |
      | evacuated/a                 | nothing changes                      |       |
      | evacuate/a                  | evacuate/b is added                  | a b   |
      | evacuate/a evacuate/b       | evacuate/a is removed                | b     |
      | evacuate/a                  | the history is gone, and it reads "" |       |
      | evacuate/a                  | the store is restored without rows   | a     |
      | evacuate/a                  | it is restored, and 6 s pass         |       |
