@replaced-primary
Feature: No write is acknowledged by a primary that has been replaced

  A write that the old primary took after its place was given away is in no log that
  lasts. Who was told "ok" of it loses an order without a word.

  @own-deployment @guard.acknowledged-without-grant
  Scenario: A write is in flight while its proxy stands still past its lease
    Proxy 1 freezes with a write at the primary, which is then cut off from all
    other failure domains and replaced. The new primary writes on. When proxy 1 goes
    on, the old primary's answer is there, and replicas are past its position.

    Given the control leader runs outside of the primary's failure domain
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
    If one observer sufficed, each bad link would be a failover, and two observers
    with bad links to different servers would make the primary wander.

    Given a caller "agent" at proxy 1
    And a caller "shopper" at proxy 3
    When the primary is cut off from the failure domain "fd-b"
    Then the primary and its term stay for 3 seconds
    And "agent" writes the line "through one proxy" as soon as it can
    And "shopper" writes the line "through another" as soon as it can
    When the link to the primary heals
    Then proxy 2 may write again
