@read-your-writes
Feature: A session reads its own writes at every proxy

  A shopper's line is written through one entry instance, and the next page comes
  from another one, whose nearest replica lags far behind. Without the session's
  position the page lacks the line, and the shopper sends it a second time.

  Scenario Outline: Read at another proxy, next to a replica that is far behind
    The replica in the reader's own failure domain has stopped replicating, so only
    the session's position keeps reads away from it. The other replica takes no reads
    because it is leaving.

    Given the replica "orders-3" has stopped to replicate
    And a caller "writer" at proxy 1
    And a caller "reader" at proxy 3
    When the replica "orders-2" announces that it leaves
    And "writer" writes the line "hello"
    And "writer" writes the line "hello again"
    And "reader" goes on with <session>
    Then each read of "reader" has the lines "hello" and "hello again" for 3 seconds

    @guard.satisfies-always
    Examples: with its token
      | session                 |
      | the session of "writer" |

    @guard.unknown-session-is-new
    Examples: without a token
      | session    |
      | no session |

  @own-deployment @guard.satisfies-always
  Scenario: Read after a change of primary, beside a replica that returns with old data
    A replica freezes, the primary changes, and the replica resumes with the data of
    the previous term. It is the replica nearest to the reader.

    Given a caller "writer" at proxy 1
    And a caller "reader" at proxy 3
    And the replica "orders-3" is frozen
    When "writer" writes the line "before"
    And the primary is changed to "orders-2"
    And "writer" writes the line "after"
    And the replica "orders-3" returns with its old data
    And "reader" goes on with the session of "writer"
    Then each read of "reader" has the lines "before" and "after" for 3 seconds

  Scenario Outline: A token that cannot be kept gets a clear refusal
    A token that is signed with another key, truncated or of a term that no proxy knows
    does not tell what its session wrote; a read could silently miss those writes.

    Given a caller "writer" at proxy 1
    And a caller "reader" at proxy 2
    When "writer" writes the line "hello"
    And "reader" goes on with a token <token>
    And "reader" reads
    Then "reader" is told "not-run:" with "<message>"

    @guard.signature-unchecked
    Examples: not signed by this system
      | token          | message                  |
      | of another key | signature does not match |
      | cut short      | session token            |

    @guard.future-accepted
    Examples: of the future
      | token                   | message                                |
      | of a term of the future | does not know the session's newer term |

  @own-deployment @guard.lost-branch-accepted
  Scenario: A session whose writes a change of primary has lost is told so
    The session's last position lies past the point where the new term branched off.
    The new term's offsets grow past that position, but its entries are different.

    Given a caller "writer" at proxy 1
    And a caller "reader" at proxy 2
    When "writer" writes the line "kept"
    And the primary is changed to "orders-2"
    And "writer" writes 5 more lines
    And "reader" goes on with a token past the branch of the new term
    And "reader" reads
    Then "reader" is told "not-run:" with "were lost in a change of primary"
