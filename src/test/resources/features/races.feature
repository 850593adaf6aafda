Feature: One action, one end
  The design's races: whatever comes when, one of completion and cancellation wins, nothing starts afterwards,
  and what the client or the deadline ended never counts against an engine.

  Scenario Outline: a client goes <when>
    Given a <kind> action with 2 engines at most and 8000 ms
    When it has come to "<when>"
    And the client goes
    Then it is CANCELED by CLIENT_GONE
    And <attempts> attempts were started
    And no further attempt can start
    And the response is <committed>
    And nothing counts against an engine
    And cleanup ran once
    And there is one terminal event

    Examples:
      | kind       | when                 | attempts | committed     |
      | repeatable | admission            | 0        | not committed |
      | repeatable | queued               | 0        | not committed |
      | repeatable | connecting           | 1        | not committed |
      | repeatable | waiting for a byte   | 1        | not committed |
      | resumable  | mid-stream           | 1        | committed     |
      | repeatable | fallback reserved    | 1        | not committed |
      | repeatable | during fallback      | 2        | not committed |

  Scenario: completion comes first
    Given a repeatable action with 2 engines at most and 8000 ms
    When it has come to "waiting for a byte"
    And the answer is whole
    And the client goes
    Then it is COMPLETED
    And there is one terminal event
    And no further attempt can start

  Scenario: completion and cancellation at the same instant, many times
    When completion and cancellation race 2000 times
    Then each had one winner and one terminal event

  Scenario Outline: an attempt ends with <end>
    Given a <kind> action with <most> engines at most and 8000 ms
    When it has come to "<when>"
    And the attempt ends with <end>
    Then the verdict is <verdict>

    Examples:
      | kind           | most | when               | end             | verdict   |
      | repeatable     | 2    | waiting for a byte | BROKEN          | FALLBACK  |
      | repeatable     | 1    | waiting for a byte | BROKEN          | FAIL      |
      | once-only      | 2    | waiting for a byte | BROKEN          | FAIL      |
      | once-only      | 2    | waiting for a byte | NOT_RUN         | FALLBACK  |
      | once-only      | 1    | waiting for a byte | NOT_RUN         | REFUSE    |
      | once-only      | 1    | connecting         | NOT_SENT        | FALLBACK  |
      | once-only      | 1    | connecting         | BROKEN          | FALLBACK  |
      | repeatable     | 2    | waiting for a byte | ATTEMPT_TIMEOUT | FALLBACK  |
      | resumable      | 2    | mid-stream         | BROKEN          | RESUME    |
      | resumable      | 1    | mid-stream         | BROKEN          | BREAK_OFF |
      | once-only      | 2    | mid-stream         | BROKEN          | BREAK_OFF |
      | repeatable     | 2    | during fallback    | BROKEN          | FAIL      |

  Scenario: the overall deadline leaves no time for a fallback
    Given a repeatable action with 2 engines at most and 8000 ms
    When it has come to "waiting for a byte"
    And 8000 ms pass
    And the attempt ends with BROKEN
    Then the verdict is FAIL
    And no further attempt can start

  Scenario: an attempt cannot outlive its action
    Given a repeatable action with 2 engines at most and 500 ms
    Then an attempt of 2000 ms ends at 500 ms with its parent
    And an attempt of 200 ms ends at 200 ms alone

  Scenario: an attempt's own timeout keeps its mark when the client goes later
    Given a repeatable action with 2 engines at most and 8000 ms
    When it has come to "during fallback" after ATTEMPT_TIMEOUT
    And the client goes
    Then it is CANCELED by CLIENT_GONE
    And the first attempt ended with ATTEMPT_TIMEOUT
