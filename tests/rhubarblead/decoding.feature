Feature: Whatever another writer has left, decoders refuse it in their own words

  # LOST: processes ended, or stopped following a list, for one odd entry in it.
  Scenario Outline: Odd content is decoded, or refused as malformed
    Given valid content of <content>
    Then <count> odd changes of it are decoded or refused as malformed

    Examples: what servers and the operator write
      | content                   | count |
      | a heartbeat               | 400   |
      | a deregistration          | 100   |
      | the configuration         | 300   |
      | the settings              | 300   |

    Examples: what the store answers
      | content                   | count |
      | rows of the store         | 200   |
      | an answer to a write      | 200   |

    Examples: what nodes write for each other
      | content                   | count |
      | a member row              | 200   |
      | an assignment row         | 200   |
      | a row of crashes          | 400   |
      | a state message           | 300   |
      | a request message         | 200   |
      | an outcome message        | 200   |
      | a change message          | 200   |
      | a crash message           | 200   |

    Examples: the product's own deployment
      | content                   | count |
      | an ownership row          | 200   |
      | a message between nodes   | 200   |
      | a health answer           | 100   |
      | an event record           | 100   |
      | a shard map               | 100   |
      | the product's tables      | 200   |
      | the product's settings    | 200   |

  Scenario Outline: Odd numbers in header fields are refused, or have no effect
    Then the numbers in header fields may be <text>

    Examples:
      | text                  |
      | -1                    |
      | 1e9                   |
      | 99999999999999999999  |
      | 5000 digits           |
      | 0x10                  |
      | 1 2                   |
