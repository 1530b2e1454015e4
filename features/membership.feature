@membership
Feature: Backend servers announce themselves, and no list of them exists

  What is announced is used, what has gone is dropped, and a bad link of one observer
  changes nothing for the others.

  @guard.late-announcements-ignored
  Scenario: A new backend server is used once it has announced itself
    An operator starts one more replica. Nobody tells the proxies of it.

    Given 3 callers that read all the time
    When one more replica "orders-4" is started
    Then every proxy knows the server "orders-4"
    And the replica "orders-4" serves reads

  @guard.new-addresses-ignored
  Scenario: A backend server that starts again at another port is used again
    The platform moved it. Proxies that keep to the old address lose a replica for
    good, and with the last one every failover.

    Given "orders-1" has been made the primary
    And 3 callers that read all the time
    When the replica "orders-2" is killed and starts again at another port
    Then the new address of the replica "orders-2" is known to control
    And the replica "orders-2" serves reads
    And all backend servers come to the same position

  @guard.one-observer-suffices
  Scenario: One observer's flapping link changes nothing
    The link from one failure domain to the primary goes down and up. Each time that
    were believed, callers everywhere would wait for a failover.

    Given "orders-1" has been made the primary
    And a caller "agent" at proxy 1
    When the link from "fd-b" to the primary goes down and up 4 times
    Then the primary and its term stay for 1 seconds
    And "agent" writes the line "undisturbed" as soon as it can
    And every proxy may write again

  @guard.replica-chosen-blindly @guard.satisfies-always
  Scenario: A replica that is far behind is neither read from nor promoted
    It would show an agent an inbox without their last lines, and as primary it would
    make that the truth.

    Given "orders-1" has been made the primary
    And a caller "agent" at proxy 1
    And a caller "reader" at proxy 2
    And the primary is to be lost
    When the replica "orders-2" has stopped to replicate
    And "agent" writes 20 more lines
    And "reader" goes on with the session of "agent"
    Then each of 10 reads of "reader" has the line "line 19"
    When the primary is killed
    Then another server becomes primary
    And "orders-3" is the primary
    And "agent" writes the line "after" as soon as it can
    And every line that "agent" was told "ok" of is at every backend server

  @guard.silent-servers-kept @guard.silent-primary-dropped
  Scenario: A replica that is silent for long is dropped and a primary is not
    A replica is gone for good. Of the other group all servers are lost at once: were
    its primary dropped like the replica, nothing would know where its data is.

    Given "orders-1" has been made the primary
    When the replica "orders-3" is killed
    And all servers of the group "chat" are killed
    Then the server "orders-3" is dropped in the end
    And the primary of the group "chat" is still known
    When all servers of the group "chat" start again at other ports
    Then the group "chat" takes writes again
