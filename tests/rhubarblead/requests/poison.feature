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
      | !pi !pi             | alone     | alone     |
      | !pi =i !p           | condemned | free      |
      | !pi =i =p           | free      | free      |
      | !pi =p !pj          | alone     | alone     |
      | !pi !p =i           | condemned | free      |
      | !pij !pik !pj       | condemned | alone     |
      | !pi =p !pj =p !pk   | condemned | alone     |
      | !pi !pj <pk         | condemned | alone     |
      | !p !p +600001       | free      | free      |
      | !p +600001 !p       | alone     | free      |
      | !p @                | alone     | free      |

  Scenario Outline: Popular requests are blocked later than others, and not for another's crashes
    Given a poison detector
    When the poison detector receives "<events>"
    Then each of <names> is classified as <mode>

    Examples: h and m run often, h more than m; ~ is a crash while requests had run for 500 ms
      | events                          | names | mode      |
      | !hi !hj =h !hk                  | h     | alone     |
      | !hi !hj !hk !hl =h              | h     | free      |
      | !mi !mj =m                      | m     | free      |
      | !mi !mj =m !mk                  | m     | condemned |
      | !hmpi !hmpj !hmpk               | p     | condemned |
      | !hmpi !hmpj !hmpk =h =m         | hm    | free      |
      | !hmpi !hmpj !hmpk !hl !hn =h =m | hm    | free      |
      | !h !h =h                        | h     | free      |
      | !h !h !h !h !h !h !h !h !h !h !h !h !h !h !h =h | h | free |
      | !h !h !h !h !h !h !h !h !h !h !h !h !h !h !h !h | h | condemned |
      | ~pi ~pj ~pk =p                  | p     | free      |

  Scenario Outline: A block ends, and each further crash doubles it
    Given a poison detector
    When the poison detector receives "<events>"
    Then each of p is classified as <mode>

    Examples:
      | events                              | mode      |
      | !pi !pj !pk =p +59999               | condemned |
      | !pi !pj !pk =p +60001               | free      |
      | !pi !pj !pk +60001 !pl =p +119999   | condemned |
      | !pi !pj !pk +60001 !pl =p +120001   | free      |
      | !pi !pj !pk +60001 !pl <pn =p +119999 | condemned |

  Scenario: A crash without running requests creates no suspects
    Given a poison detector
    When the poison detector receives "! !"
    Then the poison detector classifies p as free and i as free

  Scenario: The number of recorded crashes is bounded
    Given a poison detector that keeps 4 crashes
    When the poison detector receives "!p !i !j !j !k !k !k"
    Then the poison detector classifies p as free and i as free

  Scenario Outline: The fingerprints of a request tell what its repetitions share
    Then a request and one with another <part> have <count> in common

    Examples:
      | part            | count |
      | idempotency key | 2     |
      | query           | 1     |
      | method          | 0     |
      | host            | 0     |
      | path            | 0     |
      | body            | 0     |
