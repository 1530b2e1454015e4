@membership
Feature: Backend servers announce themselves, and no list of them exists

  Announced servers are used, servers that are gone are removed, and an unreliable
  link of one observer does not affect the others.

  @guard.late-announcements-ignored
  Scenario: A new backend server is used once it has announced itself
    An operator starts one more replica, which is not configured at any proxy.

    Given 3 callers that read all the time
    When one more replica "orders-4" is started
    Then every proxy knows the server "orders-4"
    And the replica "orders-4" serves reads

  @guard.new-addresses-ignored
  Scenario: A backend server that starts again at another port is used again
    The platform has moved it. Proxies that keep the old address lose this replica
    permanently, and without any replica no failover is possible.

    Given "orders-1" has been made the primary
    And 3 callers that read all the time
    When the replica "orders-2" is killed and starts again at another port
    Then the new address of the replica "orders-2" is known to control
    And the replica "orders-2" serves reads
    And all backend servers come to the same position

  @guard.one-observer-suffices
  Scenario: One observer's flapping link changes nothing
    The link from one failure domain to the primary goes down and up. If this one
    observer sufficed, callers everywhere would wait for a failover each time.

    Given "orders-1" has been made the primary
    And a caller "agent" at proxy 1
    When the link from "fd-b" to the primary goes down and up 4 times
    Then the primary and its term stay for 1 seconds
    And "agent" writes the line "undisturbed" as soon as it can
    And every proxy may write again

  @guard.replica-chosen-blindly @guard.satisfies-always
  Scenario: A replica that is far behind is neither read from nor promoted
    A read from it would return an agent's inbox without the last lines; as primary it
    would lose those lines permanently.

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
    A replica is gone permanently. All servers of the other group are lost at once: if
    its primary were removed too, no record would say which server holds its data.

    Given "orders-1" has been made the primary
    When the replica "orders-3" is killed
    And all servers of the group "chat" are killed
    Then the server "orders-3" is dropped in the end
    And the primary of the group "chat" is still known for 8 seconds
    When all servers of the group "chat" start again at other ports
    Then the group "chat" takes writes again
