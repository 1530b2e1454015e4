@at-most-once
Feature: A request that must not repeat runs at most once

  An application that got no answer sends its write again with the same request id,
  at whichever proxy the balancer picks. A doubled line can be a refund promised twice.

  @guard.request-row-skipped
  Scenario: The same request again at another proxy
    Given a caller "first" at proxy 1
    And a caller "second" at proxy 2
    When "first" writes the line "refund" as request "once"
    And "second" writes the line "refund" as request "once"
    Then "refund" is once at every backend server
    And "second" was told of as many rows as "first"

  @guard.request-row-skipped
  Scenario: The same request again after its proxy died before it could answer
    The write has committed at the primary and waits for a replica's acknowledgement;
    its proxy is killed meanwhile.

    Given the setting "write_ack_timeout_ms" is 20000
    And a proxy that can be ended
    And a caller "first" at that proxy
    And a caller "second" at proxy 2
    When every replica stops to replicate
    And "first" starts to write the line "refund" as request "killed"
    And the line "refund" appears at the primary
    And that proxy is killed
    And every replica replicates again
    And "second" writes the line "refund" as request "killed"
    Then "refund" is once at every backend server
    And "first" was not told "ok" or "not-run:"

  @own-deployment @guard.request-row-skipped
  Scenario: The same request again after the primary was lost
    Given a caller "first" at proxy 1
    And a caller "second" at proxy 2
    When "first" writes the line "refund" as request "failover"
    And the primary is killed
    And "second" writes the line "refund" as request "failover" as soon as it can
    Then "refund" is once at every backend server
    And "second" was told of as many rows as "first"

  @guard.request-row-skipped
  Scenario: Two resends race at two proxies
    Given a caller "first" at proxy 1
    And a caller "second" at proxy 2
    When "first" and "second" both write the same 10 requests at the same time
    Then each of the 10 requests is once at every backend server

  @guard.unknown-write-resent
  Scenario: A write without a request id is not sent again on its own
    Its connection is cut before the answer, while new ones work. The write ran, so
    a second try on another connection would run it twice.

    Given statements take 300 ms at every backend server
    And a caller "agent" at proxy 1
    When "agent" starts to write the line "promise"
    And the line "promise" is being written at the primary
    And every connection to the backend servers is cut
    Then "agent" is told "unknown:" with "did not answer the write"
    And "promise" is at most once at every backend server

  @guard.silence-told-as-not-run
  Scenario: A write whose connection falls silent is unknown
    A device between the two ends has lost its connection state. The answer never
    arrives; an application that is told "not run" would send the line again.

    Given statements take 300 ms at every backend server
    And a caller "agent" at proxy 1
    When "agent" starts to write the line "promise"
    And the line "promise" is being written at the primary
    And every connection to the backend servers falls silent
    Then "agent" is told "unknown:" with "did not answer the write"
    And "promise" is at most once at every backend server
