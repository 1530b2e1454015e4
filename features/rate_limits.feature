@rate-limits
Feature: The rate limit of a client account holds at all proxies together

  A customer's callers use every proxy. If each proxy counted for itself, the customer
  would get its limit as many times as there are proxies.

  @guard.limit-counted-per-proxy
  Scenario: Callers at two proxies share the limit of their account
    When an operator limits the account of all callers to 4 operations a second
    And callers at two proxies read for 5 seconds
    Then at most 46 reads of any 5 seconds were told "ok"
    And every other read was told "not-run:" with a time to retry

  @guard.limit-kept
  Scenario: A limit that is taken away no longer applies
    When an operator limits the account of all callers to 1 operations a second
    And callers at two proxies read for 2 seconds
    And an operator removes the limit
    Then a read at every proxy is told "ok" 30 times
