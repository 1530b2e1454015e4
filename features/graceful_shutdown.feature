@graceful-shutdown
Feature: A graceful shutdown of a proxy cuts no request in flight

  Operators replace proxies while they serve traffic. The caller of a request that is
  cut off cannot know whether its trial record was stored.

  Background:
    Given a proxy that can be ended
    And a caller "slow" at that proxy
    And a caller "booking" at that proxy
    And a caller "idle" at that proxy
    And "idle" has read
    And "slow" has read
    And "booking" has begun a transaction with the line "booked"
    And statements take 1500 ms at every backend server
    And "slow" has started to read
    When that proxy is asked to stop

  @guard.drain-skipped
  Scenario: A slow statement and an open transaction get their answers
    Then "slow" gets its answer
    And "booking" commits and is told "ok"
    And that proxy exits with status 0
    And "booked" is at every backend server

  @guard.idle-connection-cut
  Scenario: The next request on an idle connection is refused as not run
    When "idle" tries to write the line "late"
    Then "idle" is told "not-run:" with "shutting down"
    And "booking" commits and is told "ok"
    And that proxy exits with status 0
    And "late" is at no backend server

  @guard.ready-while-draining
  Scenario: The balancer sees a proxy that is alive and not ready
    Then "/ready" of that proxy answers 503 while "/live" answers 200
    And "slow" gets its answer
    And "booking" commits and is told "ok"
    And that proxy exits with status 0
