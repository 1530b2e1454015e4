@recovery
Feature: What was accepted is there after processes, machines and disks are lost

  Any process can end at any time. If settings revert or a group loses its term after
  a power failure, operators cannot rely on any change that was accepted.

  @guard.log-not-written
  Scenario: All control processes are killed at once and start again
    A power failure ends all of them at the same time. What they acknowledged exists
    only on their disks.

    Given a caller "agent" at proxy 1
    When an operator lets the user "auditor" in
    And the primary is moved
    And the committed state is noted
    And all control processes are killed
    And the killed control processes start again
    Then settings and groups are as noted
    And every proxy may write again
    And "agent" writes the line "after the power cut" as soon as it can
    And a further change of settings is accepted

  @guard.quorum-of-one
  Scenario: Two of three control processes are lost and come back
    The remaining one cannot know whether the others continue without it. A change
    that it accepted alone would be lost when they return.

    Given a caller "agent" at proxy 1
    And a caller "reader" at proxy 2
    When "agent" writes the line "before"
    And "reader" goes on with the session of "agent"
    And two of three control processes are killed
    Then no change of settings is accepted for 3 seconds
    And each of 5 reads of "reader" has the line "before"
    When the killed control processes start again
    Then every proxy may write again
    And "agent" writes the line "after" as soon as it can
    And a further change of settings is accepted

  @own-deployment @guard.identities-unchecked
  Scenario: A voter that lost its disk does not vote under its old id
    It has lost the record of its votes and its log. Its vote could elect a leader
    that lacks an accepted change. Right after it is replaced under a new id, a second
    machine is lost.

    When an operator lets the user "auditor" in
    And a control process that does not lead loses its disk and starts again
    And the control leader is killed
    Then no change of settings is accepted for 4 seconds
    When the killed control processes start again
    And the control process without its disk is replaced by "control-4"
    And the control leader is killed
    Then a further change of settings is accepted
    And every proxy lets the user "auditor" in
    And every proxy may write again

  @guard.transaction-not-begun
  Scenario: A proxy dies in the middle of a transaction
    No commit was acknowledged to its caller. The row must not exist, and the dead
    proxy's locks and scarce connections must be released.

    Given a proxy that can be ended
    And a caller "dying" at that proxy
    And a caller "next" at proxy 1
    When "dying" begins a transaction
    And "dying" writes the line "half an order"
    And that proxy is killed
    And "next" writes the line "whole order" as soon as it can
    Then "half an order" is at no backend server
    And "whole order" is at every backend server
    And the primary has no connections but those of running processes

  @guard.missed-entries-not-sent
  Scenario: A control process starts again after hundreds of changes
    The changes were accepted while it was down. Right after its restart the leader
    is lost, and the remaining processes have a quorum only with it.

    When a control process that does not lead is killed
    And an operator makes 200 changes and then lets the user "auditor" in
    And the killed control processes start again
    Then the control process that was killed has all changes
    When the control leader is killed
    Then a further change of settings is accepted
    And every proxy lets the user "auditor" in
    And every proxy may write again

  @guard.grant-never-expires
  Scenario: Proxies that are cut off from control serve what they promise
    All control processes are frozen. Reads whose consistency a replica can guarantee
    continue; a write could reach a replaced primary, so it is refused at once.

    Given a caller "agent" at proxy 1
    And a caller "reader" at proxy 2
    And a caller "browser" at proxy 3
    When "agent" writes the line "before"
    And "reader" goes on with the session of "agent"
    And the control group stands still
    Then no proxy may write and each control process stands still
    When "agent" tries to write the line "cut off"
    Then "agent" is told "not-run:" at once and when to come back
    And each of 5 reads of "reader" has the line "before"
    And a read of "browser" of at most 60000 ms of age is told "ok"
    And a read of "browser" of at most 10 ms of age is told "not-run:"
    When the control group goes on
    Then every proxy may write again
    And "agent" writes the line "after" as soon as it can
    And every line that "agent" was told "ok" of is at every backend server

  @guard.promotion-left-undone
  Scenario: The control leader is killed in the middle of a promotion
    The primary is dead and a proxy is frozen, so the promotion waits until the proxy's
    grant expires. The next leader finds the promotion begun and must finish it.

    Given a caller "agent" at proxy 1
    And the primary is to be lost
    When "agent" writes the line "before"
    And proxy 3 freezes
    And the primary is killed
    And the promotion has begun and the control leader is killed
    Then another server becomes primary
    And proxy 1 may write again
    When proxy 3 goes on
    And the killed control processes start again
    Then every proxy may write again
    And "agent" writes the line "after" as soon as it can
    And every line that "agent" was told "ok" of is at every backend server
