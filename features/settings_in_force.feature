@settings-in-force
Feature: An accepted change is in force everywhere within seconds and never reverts

  An operator is told that a change was accepted. A proxy that keeps the old settings
  or returns to them admits users that it should refuse or applies wrong time limits,
  unnoticed by anyone.

  @guard.settings-not-applied
  Scenario: Every proxy behaves as the accepted change says
    A proxy may follow the versions and still use the settings that it read before, so
    the behaviour is checked and not the version that the proxy reports.

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
    No replica replicates any more. With "write_ack" set to "replica" no write is
    acknowledged; an operator who accepts the risk of loss sets it to "primary".

    When an operator sets "write_ack" to "primary"
    And every replica stops to replicate
    Then a write at every proxy is told "ok"
    When an operator sets "write_ack" to "replica"
    Then a write at every proxy is told "unknown:"

  @guard.change-ids-forgotten @guard.expected-version-unchecked
  Scenario: Two operators race with equal versions and both send again
    Both read the same version, and neither received an answer. If the rejected change
    took effect when it is sent again, it would silently undo the accepted one; if the
    winner were told of a conflict, they would make their change twice.

    When two operators race with changes of the same version and lose their answers
    And both operators send their changes again
    And a third operator changes the same node after them
    And both operators send their changes again
    Then one operator is told of the next version and the other of a conflict
    And both operators were told the same each time
    And the changes stand in the history 1 times in all
    And the third operator's change stands

  @own-deployment @guard.watch-unconfirmed @guard.views-go-back
  Scenario: A control process stands still through hundreds of changes
    It was frozen, was removed from the voters and does not know that when it resumes.
    For a time it is the only one that the proxies reach; one of them has just started.

    When the control process that does not lead freezes
    And the frozen control process is removed from the voters
    And an operator makes 200 changes and then lets the user "auditor" in
    Then every proxy lets the user "auditor" in
    When the other control processes freeze and the removed one goes on
    And proxy 2 is killed and starts again next to the removed one
    Then for 10 seconds no proxy has a state from before the changes
    And the removed control process still believes its old state
    And the removed control process confirms no read
    When the control group goes on
    Then every proxy lets the user "auditor" in
    And every proxy may write again
    When an operator lets the user "successor" in
    Then every proxy lets the user "successor" in

  @guard.frozen-control-kept
  Scenario: Proxies leave a control process that stands still
    Its sockets stay open and accept every request. A proxy that waits for it receives
    no change although all other proxies have it.

    Then each change gets into force in every proxy while a control process is frozen

  @guard.change-ids-forgotten
  Scenario: The control leader is killed in the middle of a change
    The operator got no answer and sends the change again, with the same id. Whether
    it had been accepted or not, it must take effect once.

    When an operator's change is accepted and the leader is killed before it answers
    And the operator sends the change again
    Then the change was accepted with the next version
    And the change stands once in the history
    When the killed control processes start again
    And an operator's change reaches the leader alone and the leader is killed
    And the operator sends the change again
    Then the change was accepted with the next version
    And the change stands once in the history
    When the killed control processes start again
    Then the change stands once in the history
    And every proxy may write again
