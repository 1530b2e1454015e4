@transactions
Feature: Transactions of different callers never mix on one connection

  A proxy has one connection to the primary for all its callers. If one caller's
  statement ran inside another's transaction, a rollback of the one would undo the
  acknowledged line of the other.

  @guard.connection-shared
  Scenario: Two callers interleave on one scarce connection
    Given a caller "agent" at proxy 1
    And a caller "shopper" at proxy 1
    When "agent" begins a transaction
    And "agent" writes the line "a draft"
    And "shopper" tries to write the line "an order" within 500 ms
    And "agent" rolls back
    And "shopper" writes the line "a second order"
    Then "a draft" is at no backend server
    And every line that "shopper" was told "ok" of is at every backend server
    And no line that "shopper" was told "not-run:" of is at any backend server

  @guard.dirty-connection-reused
  Scenario: A caller dies in the middle of a transaction
    The next caller gets the same scarce connection. Its line must not become part
    of the dead caller's transaction, nor commit it.

    Given a caller "dying" at proxy 1
    And a caller "next" at proxy 1
    When "dying" begins a transaction
    And "dying" writes the line "half an order"
    And "dying" vanishes
    And "next" writes the line "whole order" as soon as it can
    Then "half an order" is at no backend server
    And "whole order" is at every backend server

  @own-deployment @guard.commit-silence-acknowledged
  Scenario: A commit without an answer is unknown
    The primary stops answering between the write and its commit. Whether the commit
    took effect is not known; "ok" could be as false as "not run".

    Given a caller "agent" at proxy 1
    When "agent" begins a transaction
    And "agent" writes the line "refund"
    And the primary freezes
    And "agent" commits
    Then "agent" is told "unknown:" with "did not answer the commit"
    And the lines agree at every backend server once the primary is back

  @own-deployment @ample-connections @guard.shares-fixed
  Scenario: An open transaction leaves room for others
    The server has spare connections, and the transaction needs one of them. A proxy
    that keeps its small initial share refuses all other callers until it ends.

    Given a caller "agent" at proxy 1
    And a caller "shopper" at proxy 1
    When "agent" begins a transaction
    And "agent" writes the line "draft"
    Then "shopper" reads from the primary as soon as it can
    And "agent" commits and is told "ok"

  @guard.transactions-never-expire
  Scenario: A transaction that is idle for too long is rolled back and told
    A caller that hangs inside a transaction holds the connection and its locks,
    for which all others wait.

    Given the setting "max_transaction_ms" is 1000
    And a caller "hanging" at proxy 1
    And a caller "next" at proxy 1
    When "hanging" begins a transaction
    And "hanging" writes the line "forgotten"
    Then "next" writes the line "served" as soon as it can
    And "hanging" commits and is told "not-run:"
    And "forgotten" is at no backend server
    And "served" is at every backend server
