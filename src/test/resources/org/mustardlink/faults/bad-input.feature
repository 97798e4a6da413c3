Feature: Bad input gets a coded error and disturbs nothing else

  Background:
    Given a deployment
    And a session at "a-0"

  Scenario: wrong documents are refused or answered truthfully
    When a caller sends "nothing" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "no JSON" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "deep JSON" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "no id" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "an id and a key" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a malformed key" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a malformed session" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a session of a host that never was" to "a-0"
    Then the answer has status 502 and says OWNER_UNREACHABLE
    When a caller sends "a session that was never opened" to "a-0"
    Then the answer has status 502 and says SESSION_UNKNOWN
    When a caller sends "a session of a later incarnation" to "a-0"
    Then the answer has status 502 and says OWNER_UNREACHABLE
    When a caller sends "a negative number" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a number out of range" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "a negative deadline" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "no time" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "an endless deadline" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "no tasks" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "211 tasks" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When a caller sends "an endless name" to "a-0"
    Then the answer has status 400 and says BAD_REQUEST
    When job 1 is submitted at "a-0" with 1000 ms as "right"
    Then "right" ends with OK within 1000 ms
    And 3 tasks were started, each once

  Scenario: requests beyond a bound are refused
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

  Scenario: senders that never end hold up nobody
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

  Scenario: a peer's frame that is never completed holds up no other peer
    When a peer announces a frame of 5000000 bytes to "a-0"
    And job 1 is submitted at "b-0" with 1000 ms as "forwarded"
    Then "forwarded" ends with OK within 1000 ms
