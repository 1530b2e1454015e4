@not-run
Feature: A request that is refused as not run did not run

  An application sends a refused write again. If the refused one ran after all, the
  shopper sees the line twice.

  @guard.grant-never-expires
  Scenario: Writes are refused while no primary is confirmed
    All control processes are frozen, so no grant is renewed. Another proxy might
    already write to a new primary.

    Given a caller "agent" at proxy 1
    When all control processes are frozen
    And "agent" writes lines for 4 seconds, longer than any lease
    And "agent" tries to write the line "without a grant"
    Then "agent" is told "not-run:" at once and when to come back
    And no line that "agent" was told "not-run:" of is at any backend server
    And every line that "agent" was told "ok" of is at every backend server

  @guard.queue-unbounded
  Scenario: Overload is refused at once
    The only connection is busy and the queue is full. A caller that waits unserved
    until its deadline could have used another proxy.

    Given statements take 400 ms at every backend server
    And 12 callers at proxy 1
    When all callers write a line each within 20000 ms
    Then some are told "not-run:" at once and when to come back
    And each line that was told "ok" of is at every backend server
    And no line that was told "not-run:" of is at any backend server

  @guard.silence-told-as-not-run
  Scenario: A write past its deadline is not told as not run
    The primary receives the write and answers after the deadline. The row exists, so
    "not run" would be false.

    Given statements take 800 ms at every backend server
    And a caller "agent" at proxy 1
    When "agent" tries to write the line "slow" within 300 ms
    And the line "slow" appears at the primary
    Then "agent" is told "unknown:" with "did not answer the write"

  @guard.deadline-unchecked
  Scenario: A write whose deadline has passed is refused
    Given a caller "agent" at proxy 1
    When "agent" tries to write the line "too late" within 0 ms
    Then "agent" is told "not-run:" with "deadline"
    And "too late" is at no backend server

  @guard.signature-unchecked
  Scenario: A write with a refused token does not run
    Given a caller "agent" at proxy 1
    When "agent" goes on with a token of another key
    And "agent" tries to write the line "whose is this"
    Then "agent" is told "not-run:" with "signature does not match"
    And "whose is this" is at no backend server
