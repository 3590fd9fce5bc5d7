Feature: A request that crashes its upstreams is found, and no innocent one

  Scenario Outline: Crashes and answers lead to a judgement
    Given a poison finder
    When the poison finder sees "<events>"
    Then the poison finder judges p as <poison> and i as <innocent>

    Examples: p crashes each upstream, i, j and k are innocent; ! is a crash, = an answer, > a crash at another node
      | events              | poison    | innocent  |
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

  Scenario: A crash without running requests blames nobody
    Given a poison finder
    When the poison finder sees "! !"
    Then the poison finder judges p as free and i as free

  Scenario: The memory of crashes is bounded
    Given a poison finder that keeps 4 crashes
    When the poison finder sees "!p !i !j !j !k !k !k"
    Then the poison finder judges p as free and i as free

  Scenario: The same request with another idempotency key has the same fingerprint
    Then fingerprints differ by method, target and body only
