Feature: No failure gives a shard two owners

  Scenario Outline: Lost members, pauses and partitions with <servers> servers
    Given a lease simulation of <servers> servers in <domains> failure domains
    When these lease faults happen: <events>
    Then no shard ever had two owners
    And within <within> ms every shard has an owner
    And the first owner is then <owner>

    Examples: the store is up
      | servers | domains | events                                                                                 | within | owner   |
      | 8       | 4       | lose owner                                                                             | 2000   | evicted |
      | 8       | 4       | pause owner, run 500, resume owner                                                     | 20     | member  |
      | 8       | 4       | pause owner, run 3000, resume owner, run 10                                            | 20     | evicted |
      | 8       | 4       | pause owner, run 15000, resume owner, run 10                                           | 20     | evicted |
      | 8       | 4       | pause g1, run 4000, resume g1, run 1000                                                | 20     | member  |
      | 8       | 4       | slow g1 owner 3000, run 500, pause g1, run 1500, resume g1, run 4000                   | 20     | member  |
      | 8       | 4       | slow * owner 600, run 5000                                                             | 20     | member  |
      | 8       | 4       | slow owner * 600, run 5000                                                             | 20     | member  |
      | 8       | 4       | degrade_network 300, run 20000, degrade_network 0                                      | 3000   | any     |
      | 8       | 4       | slow * owner 2000, run 5000                                                            | 20     | evicted |
      | 8       | 4       | slow owner * 2000, run 5000                                                            | 20     | evicted |
      | 8       | 4       | cut owner *, run 2500                                                                  | 20     | evicted |
      | 8       | 4       | cut * owner, run 3600                                                                  | 20     | evicted |
      | 8       | 4       | cut g1 owner, run 2000                                                                 | 20     | member  |
      | 8       | 4       | cut owner g1, cut owner g2, run 1000                                                   | 1000   | any     |
      | 8       | 4       | restart owner                                                                          | 2000   | evicted |
      | 8       | 4       | pause owner, run 3000, restart owner, run 5000                                         | 20     | evicted |
      | 8       | 4       | isolate g1, run 6000, reconnect g1, run 2000                                           | 20     | member  |
      | 8       | 4       | isolate owner, run 3000, reconnect owner                                               | 2000   | evicted |
      | 8       | 4       | slow owner store 3000, lose g1, run 1500, cut owner g2, cut owner g3, run 8000         | 20     | any     |
      | 8       | 4       | cut store owner, lose g1, run 1500, isolate owner, run 8000                            | 20     | evicted |
      | 8       | 4       | no_delays, lose owner                                                                  | 1200   | evicted |
      | 8       | 4       | lose owner, lose g1                                                                    | 2000   | evicted |
      | 8       | 4       | lose owner, lose g1, lose g2                                                           | 7000   | evicted |
      | 8       | 4       | lose owner, run 600, lose g1, lose g2                                                  | 7500   | evicted |
      | 8       | 4       | cut * *, run 1500, uncut * *                                                           | 1500   | member  |
      | 8       | 4       | cut * *, run 20000, uncut * *                                                          | 1500   | member  |
      | 8       | 4       | store down, cut * *, run 20000, uncut * *, store up                                    | 1500   | member  |
      | 12      | 4       | lose domain                                                                            | 2000   | evicted |
      | 11      | 3       | lose domain                                                                            | 2000   | evicted |
      | 8       | 4       | partition owner g1 g2, run 9000                                                        | 20     | evicted |
      | 8       | 4       | partition owner g1 g2, run 3000, reconnect owner, reconnect g1, reconnect g2, run 3000 | 2000   | any     |
      | 8       | 4       | leave owner                                                                            | 100    | evicted |
      | 8       | 4       | cut store g1, leave g1, run 9000                                                       | 20     | member  |
      | 8       | 4       | request_move 0 g1, run 100                                                             | 20     | member  |
      | 8       | 4       | cut store owner, request_move 0 g1, run 900, cut owner store, run 4000                 | 2000   | any     |
      | 1       | 1       | run 5000                                                                               | 20     | member  |
      | 1       | 1       | pause owner, run 5000, resume owner                                                    | 300    | member  |
      | 1       | 1       | add n1, run 3000                                                                       | 20     | member  |
      | 1       | 1       | isolate owner, add n1, run 3000                                                        | 20     | member  |
      | 1       | 1       | add n1, isolate owner, run 4000                                                        | 20     | evicted |
      | 1       | 1       | pause owner, add n1, run 3000, resume owner                                            | 100    | evicted |
      | 2       | 2       | lose owner                                                                             | 2500   | evicted |
      | 2       | 2       | lose g1                                                                                | 2500   | member  |
      | 2       | 2       | cut owner g1, cut g1 owner                                                             | 3000   | any     |
      | 3       | 3       | lose owner                                                                             | 2500   | evicted |

    Examples: the store is down for a while
      | servers | domains | events                                                                               | within | owner   |
      | 8       | 4       | store down, run 30000                                                                | 20     | member  |
      | 8       | 4       | store down, lose owner, run 5000, store up                                           | 2000   | evicted |
      | 8       | 4       | store down, lose g1, lose g2, run 20000, store up                                    | 2000   | any     |
      | 8       | 4       | store down, isolate owner, run 5000, reconnect owner, store down, run 5000, store up | 2000   | any     |
      | 8       | 4       | cut store *, lose owner, run 3000, reconnect *                                       | 2000   | evicted |

  Scenario Outline: Owners of a shard after failures that delay evictions
    Given a lease simulation of 8 servers in 4 failure domains
    When these lease faults happen: <events>
    Then no shard ever had two owners
    And the first shard has <owners> owners

    Examples: the store is down, or the owner and two granters are lost
      | events                                   | owners |
      | store down, lose owner, run 20000        | 0      |
      | store down, lose g1, lose g2, run 2000   | 0      |
      | store down, run 1000, lose g1, run 20000 | 1      |
      | lose g1, run 300, store down, run 20000  | 1      |
      | lose owner, lose g1, lose g2, run 4000   | 0      |
      | cut * *, store down, run 2000            | 0      |

  Scenario Outline: The checks detect faults in lease decisions
    Given a lease simulation of <servers> servers in 4 failure domains
    When these lease faults happen: <events>
    Then no shard ever had two owners
    Given lease decisions broken so that <fault>
    When these lease faults happen: <events>
    Then a shard had two owners

    Examples: broken decisions
      | servers | fault                                   | events                                                                                                                         |
      | 8       | promises count from their receipt       | slow * owner 700, run 2000, isolate owner, run 4000                                                                            |
      | 8       | one lapse is enough to evict            | cut owner store, cut owner g1, run 3000                                                                                        |
      | 8       | granters promise after a lapse          | store down, cut owner g1, cut owner g2, run 1500, uncut owner g1, uncut owner g2, run 500, store up, cut owner store, run 2000 |
      | 8       | new granters count before the commit    | slow owner store 9000, lose g1, run 6000                                                                                       |
      | 8       | granters promise to unknown members     | pause owner, run 3000, cut store owner, resume owner, run 2000                                                                 |
      | 12      | leaving members still grant promises    | cut store except to one, leave g1, cut owner g2, run 9000                                                                      |
      | 1       | members without granters are evicted    | add n1, run 3000                                                                                                               |
      | 8       | granters need no evidence of membership | partition owner g1 g2, run 9000                                                                                                |
