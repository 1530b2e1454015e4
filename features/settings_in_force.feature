@settings-in-force
Feature: An accepted change is in force everywhere within seconds and never reverts

  An operator is told that a change was accepted. A proxy that goes on with the old
  settings, or comes back to them, lets in whom it should not, or waits as it should
  not, and nobody is told.

  @guard.settings-not-applied
  Scenario: Every proxy behaves as the accepted change says
    A proxy may follow the versions and still use what it has read before. So the
    behaviour is looked at, not the version that the proxy states.

    When an operator sets "deadline_ms" to 15000
    And statements take 300 ms at every backend server
    Then a read at every proxy is told "ok"
    When an operator sets "deadline_ms" to 100
    Then a read at every proxy ends without an answer
    When an operator lets the user "auditor" in
    Then every proxy lets the user "auditor" in
    And a read at every proxy is told "ok"
    And every proxy refuses the user "stranger"

  @guard.settings-not-applied
  Scenario: Every proxy acknowledges writes as the accepted change says
    No replica takes part any more. With "write_ack" at "replica" no write is
    acknowledged; an operator who prefers the risk says "primary".

    When an operator sets "write_ack" to "primary"
    And every replica stops to replicate
    Then a write at every proxy is told "ok"
    When an operator sets "write_ack" to "replica"
    Then a write at every proxy is told "unknown:"

  @guard.change-ids-forgotten @guard.expected-version-unchecked
  Scenario: Two operators race with equal versions and both send again
    Both saw the same version, both lost their answer. If the loser's change took
    effect on its second arrival, it would undo the winner's without a word; if the
    winner were told of a conflict, they would make their change twice.

    When two operators race with changes of the same version and lose their answers
    And both operators send their changes again
    And a third operator changes the same node after them
    And both operators send their changes again
    Then one operator is told of the next version and the other of a conflict
    And both operators were told the same each time
    And the changes stand in the history 1 times in all
    And the third operator's change stands
