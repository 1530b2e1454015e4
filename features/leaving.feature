@leaving
Feature: A backend server that is leaving gets no new work

  An operator stops a server for maintenance. It announces that it is leaving and is
  stopped a few seconds later; a statement that reaches it after that is lost.

  @guard.leaving-ignored
  Scenario: No new statement reaches a replica that leaves
    Given 3 callers that read all the time
    And the replica "orders-2" serves reads
    When the replica "orders-2" announces that it leaves
    And 5 seconds pass
    Then the replica "orders-2" serves no statement for 2 seconds
    And all reads went on meanwhile

  @guard.leaving-cuts-transactions
  Scenario: A transaction on a replica that leaves goes on to its end
    Given a caller "agent" at proxy 2
    When "agent" writes the line "inbox"
    And "agent" reads in a transaction on a replica
    And the server of "agent"'s transaction announces that it leaves
    And 3 seconds pass
    And "agent" reads
    Then "agent" has read the line "inbox"
    And "agent" commits and is told "ok"

  @own-deployment @guard.leaving-primary-stays
  Scenario: No new statement reaches a primary that leaves
    Writes continue at another primary, so that the old one can be stopped without
    losing writes and without the interruption of an unplanned failover.

    Given a caller that writes all the time
    When the primary announces that it leaves
    And 6 seconds pass
    Then the former primary serves no statement for 2 seconds
    And writes went on meanwhile
