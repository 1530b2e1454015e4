@replaced-primary
Feature: No write is acknowledged by a primary that has been replaced

  A write that the old primary accepted after it was replaced is in no surviving log.
  A caller that was told "ok" of it loses an order without notice.

  @guard.acknowledged-without-grant
  Scenario: A write is in flight while its proxy stands still past its lease
    Proxy 1 freezes with a write in flight at the primary, which is then cut off from
    all other failure domains and replaced. The new primary takes writes. When proxy 1
    resumes, the old primary's answer is there, and replicas are past its position.

    Given "orders-1" has been made the primary
    And the control leader runs outside of the primary's failure domain
    And a caller "agent" at proxy 1
    And a caller "shopper" at proxy 2
    And statements take 700 ms at the primary
    When "agent" starts to write the line "late" and waits for long
    And proxy 1 freezes
    And an operator makes a change that proxy 1 cannot follow
    And the primary is cut off from the other failure domains
    And another server becomes primary
    And "shopper" writes the line "after" as soon as it can
    And "shopper" writes 5 more lines
    And the control group stands still
    And proxy 1 goes on
    Then "agent" is told "unknown:"
    When the control group goes on
    Then every line that "shopper" was told "ok" of is at every backend server
    And "late" is at most once at every backend server

  @guard.one-observer-suffices
  Scenario: One failure domain's bad link to the primary demotes nobody
    If one observer sufficed, each bad link would cause a failover, and two observers
    with bad links to different servers would move the primary back and forth.

    Given "orders-1" has been made the primary
    And a caller "agent" at proxy 1
    And a caller "shopper" at proxy 3
    When the primary is cut off from the failure domain "fd-b"
    Then the primary and its term stay for 3 seconds
    And "agent" writes the line "through one proxy" as soon as it can
    And "shopper" writes the line "through another" as soon as it can
    When the link to the primary heals
    Then proxy 2 may write again

  @guard.returning-primary-kept
  Scenario: A killed primary returns and believes that it is primary
    It holds a write that no replica has and that no caller was told "ok" of. Restarted
    with its old data, it must discard it and replicate; no proxy may write through it.

    Given a caller "agent" at proxy 1
    And a caller "shopper" at proxy 2
    And the primary is to be lost
    When every replica stops to replicate
    And "agent" starts to write the line "tail"
    And the line "tail" appears at the primary
    And the primary is killed
    And every replica replicates again
    And another server becomes primary
    And "shopper" writes the line "after" as soon as it can
    And the former primary starts again at another port
    And "shopper" writes 20 more lines
    Then "agent" is told "unknown:"
    And the former primary follows the new one with its term
    And "tail" is at no backend server
    And every line that "shopper" was told "ok" of is at every backend server

  @guard.replica-chosen-blindly
  Scenario: Planned changes of primary lose no line and double none
    An operator changes the primary three times while callers write lines that must
    not run twice. One replica always lags slightly behind.

    Given the replica "orders-3" lags by 300 ms
    And 6 callers that write all the time
    When 3 planned changes of primary follow one another
    And the callers stop to write
    Then each acknowledged line is once at every backend server
    And no refused line is at any backend server

  @guard.leadership-kept
  Scenario: A control leader that stood still gives no grant when it goes on
    Another leader was elected and has changed the primary. The old leader still
    assumes that it leads and is the only one that the proxies reach. It would grant
    writes to the old primary.

    When the control leader freezes
    And another control process leads and changes the primary
    And the other control processes freeze and the old leader goes on
    Then the old leader refuses grants for 3 seconds
    And no proxy may write once its grant has run out
    And no proxy goes back to the old term
    When the control group goes on
    Then every proxy may write again
