Feature: Only well-formed responses are used or passed on

  # MIXED: a status of 000 reached the client as "HTTP/1.1 0".
  Scenario Outline: A reader delivers what is well-formed, and nothing else
    When <count> <kind> responses are read by the <reader>, <how>
    Then each verdict is that of the grammar

    Examples: by httptools beside the servers and the store, by our own framing in own mode
      | kind        | reader | how                  | count |
      | well-formed | router | whole                | 400   |
      | well-formed | router | in pieces            | 200   |
      | well-formed | router | on a kept connection | 200   |
      | mutated     | router | whole                | 1500  |
      | mutated     | router | in pieces            | 600   |
      | mutated     | router | on a kept connection | 600   |
      | well-formed | client | whole                | 400   |
      | well-formed | client | in pieces            | 200   |
      | mutated     | client | whole                | 1500  |
      | mutated     | client | in pieces            | 600   |

  Scenario Outline: A response that is malformed in one part isn't delivered
    When a server answers with "<response>"
    Then neither reader delivers it

    Examples: \r\n ends each line, and the body has 4 bytes
      | response                                        |
      | HTTP/1.1 000 X\r\ncontent-length: 4             |
      | HTTP/1.1 099 X\r\ncontent-length: 4             |
      | HTTP/1.1 600 X\r\ncontent-length: 4             |
      | HTTP/2.0 200 X\r\ncontent-length: 4             |
      | RTSP/1.0 200 X\r\ncontent-length: 4             |
      | ICE/1.0 200 X\r\ncontent-length: 4              |
      | HTTP/1.1 200 a\x01b\r\ncontent-length: 4        |
      | HTTP/1.1 200 a\x00b\r\ncontent-length: 4        |
      | HTTP/1.1 200 X\r\na b: c\r\ncontent-length: 4   |
      | HTTP/1.1 200 X\r\na\x01: c\r\ncontent-length: 4 |
      | HTTP/1.1 200 X\r\na: \x01c\r\ncontent-length: 4 |
      | HTTP/1.1 200 X\r\ncontent-length: 4\r\ncontent-length: 4 |
      | HTTP/1.1 200 X\r\ntransfer-encoding: gzip       |
      | HTTP/1.0 200 X\r\ntransfer-encoding: chunked    |

  Scenario: Trailers aren't taken for header fields
    When a server sends a trailer "x-trailer: 1" behind the chunks of its response
    Then the response has no field "x-trailer"
