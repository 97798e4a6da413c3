Feature: Invalid input is answered with an error code and does not affect other requests

  Background:
    Given a deployment
    And a session at "a-0"

  Scenario: invalid job documents are refused with the matching error code
    When a caller sends "nothing" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "truncated JSON" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "deeply nested JSON" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "no submission id" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "an id and a key" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a malformed key" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a malformed session" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a session of an unknown host" to "a-0"
    Then the answer has status 502 and says OWNER_UNREACHABLE
    When a caller sends "a session that was never opened" to "a-0"
    Then the answer has status 502 and says SESSION_UNKNOWN
    When a caller sends "a session of a later incarnation" to "a-0"
    Then the answer has status 502 and says OWNER_UNREACHABLE
    When a caller sends "a negative sequence number" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a sequence number out of range" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a negative deadline" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a deadline of zero" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "an excessive deadline" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "no tasks" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "211 tasks" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "an overlong team name" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When job 1 is submitted at "a-0" with 1000 ms as "right"
    Then "right" ends with OK within 1000 ms
    And 3 tasks were started, each once

  Scenario: requests that exceed a size limit are refused
    When a caller sends 20000 bytes of header to "a-0"
    Then the answer has status 431 and says HEADERS_TOO_LARGE
    When a caller sends 20000 bytes of path to "a-0"
    Then the answer has status 431 and says HEADERS_TOO_LARGE
    When a caller sends 100000 bytes of header to "a-0"
    Then the answer has status 400 and says nothing
    When a caller sends 5000000 bytes of body to "a-0"
    Then the answer has status 413 and says BODY_TOO_LARGE
    When a caller sends 5000000 bytes of chunks to "a-0"
    Then the answer has status 413 and says BODY_TOO_LARGE
    When job 1 is submitted at "a-0" with 1000 ms as "right"
    Then "right" ends with OK within 1000 ms

  Scenario: incomplete requests do not delay other callers
    When 200 callers start to send a body to "a-0" and never end
    And job 1 is submitted at "a-0" with 1000 ms as "right"
    Then "right" ends with OK within 1000 ms

  Scenario Outline: a peer's frame of <bytes> bytes is refused
    When a peer announces a frame of <bytes> bytes to "a-0"
    Then the peer's connection is closed
    When job 1 is submitted at "b-0" with 1000 ms as "forwarded"
    Then "forwarded" ends with OK within 1000 ms

    Examples:
      | bytes      |
      | -1         |
      | 0          |
      | 8          |
      | 6000000    |
      | 2147483647 |

  Scenario: an incomplete frame of a peer does not delay other peers
    When a peer announces a frame of 5000000 bytes to "a-0"
    And job 1 is submitted at "b-0" with 1000 ms as "forwarded"
    Then "forwarded" ends with OK within 1000 ms
