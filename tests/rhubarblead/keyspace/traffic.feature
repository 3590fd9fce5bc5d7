Feature: Request rates of the keys that a server owns

  # Keys that had left counted for up to 3 s, so that a server gave too many.
  Scenario: Keys that have left no longer count
    Given a server that owns keys "0-99 200-299"
    When for 3000 ms keys "5 250" get 10 requests per second each
    And the server owns keys "0-99"
    Then the requests per second are "5:10"

  # Counted over 3 s, keys that had come hardly did, so that more were given.
  Scenario: Keys that have come count from their arrival on
    Given a server that owns keys "0-99"
    When for 3000 ms keys "5" get 10 requests per second each
    And the server owns keys "0-99 200-299"
    And for 600 ms keys "5 250" get 10 requests per second each
    Then the requests per second are "5:10 250:10"

  Scenario: Keys beside new ones keep what was measured
    Given a server that owns keys "0-99"
    When for 3000 ms keys "5 95" get 10 requests per second each
    And the server owns keys "0-49 50-149"
    And for 600 ms keys "5 95 120" get 10 requests per second each
    Then the requests per second are "5:10 95:10 120:10"

  Scenario: Keys that come back are measured anew
    Given a server that owns keys "0-99"
    When for 3000 ms keys "5" get 10 requests per second each
    And the server owns keys "200-299"
    And the server owns keys "0-99"
    And for 600 ms keys "5" get 10 requests per second each
    Then the requests per second are "5:10"
