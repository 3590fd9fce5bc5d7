Feature: A request that crashes its upstreams is blocked, and no harmless one

  Scenario Outline: Crashes and responses determine how a request may run
    Given a poison detector
    When the poison detector receives "<events>"
    Then the poison detector classifies p as <poison> and i as <harmless>

    Examples: p crashes each upstream, i, j and k are harmless; ! is a crash, = a response, > a crash at another node, @ a repeated report, +N a wait of N ms
      | events              | poison    | harmless  |
      | =p                  | free      | free      |
      | !pi                 | alone     | alone     |
      | !pi =i              | alone     | free      |
      | !p                  | alone     | free      |
      | !p !p               | condemned | free      |
      | !p >p               | condemned | free      |
      | !pi !pj             | alone     | alone     |
      | !pi !pj !pk         | condemned | alone     |
      | !ip !ij =i !ik      | alone     | alone     |
      | !pi !pi             | alone     | alone     |
      | !pi =i !p           | condemned | free      |
      | !pi =i =p           | free      | free      |
      | !pi =p !pj          | alone     | alone     |
      | !pi !p =i           | condemned | free      |
      | !pij !pik !pj       | condemned | alone     |
      | !p !p +600001       | free      | free      |
      | !p +600001 !p       | alone     | free      |
      | !p @                | alone     | free      |

  Scenario: A crash without running requests creates no suspects
    Given a poison detector
    When the poison detector receives "! !"
    Then the poison detector classifies p as free and i as free

  Scenario: The number of recorded crashes is bounded
    Given a poison detector that keeps 4 crashes
    When the poison detector receives "!p !i !j !j !k !k !k"
    Then the poison detector classifies p as free and i as free

  Scenario: The same request with another idempotency key has the same fingerprint
    Then fingerprints differ by method, target and body only
