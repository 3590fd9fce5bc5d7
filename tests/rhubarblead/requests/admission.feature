Feature: Admission shares slots and a bounded queue fairly among keys

  Scenario Outline: A request starts, waits or is refused on arrival
    Given an admission with 2 slots and a queue of 8
    And its measured service time is 10 ms
    When the admission is offered "<offers>"
    Then the admission decided "<decisions>"

    Examples: a key (_ for none) and the time to its deadline in ms; s starts, w waits, r is refused
      | offers                                   | decisions   |
      | a99 b99                                  | s s         |
      | a99 b99 c99                              | s s w       |
      | a99 b99 a99 a99 a99                      | s s w w r   |
      | a99 b99 c99 c99 d99 d99 e99 e99 f99 f99 g99 | s s w w w w w w w w r |
      | _99 _99 _99 _99 _99 _99                  | s s w w w w |
      | a99 b99 c14 d15                          | s s r w     |
      | a99 b99 c99 c99 d24 d25                  | s s w w w r |

  Scenario: Keys are served round-robin
    Given an admission with 2 slots and a queue of 8
    And its measured service time is 10 ms
    When the admission is offered "a99 a99 a99 a99 b99 c99"
    And the running requests of the admission end one after another
    Then the admission started "a b c a" in this order

  Scenario: A queued request past its deadline is refused instead of started
    Given an admission with 2 slots and a queue of 8
    And its measured service time is 10 ms
    When the admission is offered "a99 b99 c20 d99"
    And a run of the admission ends after 30 ms
    Then the admission started "d" in this order
    And the admission refused "c" after its wait

  Scenario: A refusal states a retry time
    Given an admission with 2 slots and a queue of 8
    And its measured service time is 10 ms
    When the admission is offered "a99 b99 c99 c99 d99 d99 e99 e99 f99 f99 g99"
    Then the admission's last refusal has a retry time of 40 ms

  Scenario: A limit on the request rate holds besides the slots
    Given an admission with 9 slots and a queue of 8
    And its measured service time is 10 ms
    When its upstream states a limit of 10 requests per second
    And the admission is offered "a999 b999 c450 d999"
    Then the admission decided "w w r w"
    When the admission goes on for 310 ms
    Then the admission started "a b d" in this order
    When its upstream states no limit
    And the admission goes on for 1600 ms
    And the admission is offered "a99 b99 c99 d99"
    Then the admission decided "s s s s"

  Scenario: Threads that wait for slots notice a limit that is stated later
    When 12 threads use 4 slots, and a limit of 10 per second is stated before the first run ends
    Then at most 6 of the others have run 500 ms later
    And each thread ran or was refused

  Scenario: A suspect runs in isolation, and the next one only after a gap
    Given an admission with 2 slots and a queue of 8
    And its measured service time is 10 ms
    When the admission is offered "a99 !x99 b99 !y99"
    Then the admission decided "s w w r"
    When the running requests of the admission end one after another
    Then the admission started "x b" in this order
    And the admission never ran "x" together with another request

  Scenario: A waiting suspect whose caller disconnects no longer blocks others
    Given an admission with 2 slots and a queue of 8
    And its measured service time is 10 ms
    When the admission is offered "a99 !x99 b99"
    And the caller of "x" withdraws from the admission
    Then the admission started "b" in this order

  Scenario: Fewer slots take effect as runs end
    Given an admission with 2 slots and a queue of 8
    And its measured service time is 10 ms
    When the admission is offered "a99 b99 c99"
    And the admission's slots become 1
    And a run of the admission ends after 1 ms
    Then the admission started "" in this order

  Scenario: Threads share the slots through the thread-safe queue
    When 24 threads run requests through a queue with 3 slots
    Then never more than 3 ran concurrently
    And each thread ran or was refused
