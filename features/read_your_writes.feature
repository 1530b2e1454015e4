@read-your-writes
Feature: A session reads its own writes at every proxy

  A shopper's line is written through one entry instance, and the next page comes
  from another one, whose nearest replica lags far behind. Without the session's
  position the page lacks the line, and the shopper sends it a second time.

  Scenario Outline: Read at another proxy, next to a replica that is far behind
    The reader's own failure domain has the replica that stopped to replicate, so
    nothing but the session's position keeps its reads away from it.

    Given the replica "orders-3" has stopped to replicate
    And a caller "writer" at proxy 1
    And a caller "reader" at proxy 3
    When "writer" writes the line "hello"
    And "reader" goes on with <session>
    Then each of 20 reads of "reader" has the line "hello"

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
    A replica freezes, the primary changes, the replica comes back with the data of
    the term before. It is the nearest one to the reader.

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
    A token of another key, cut short or of a term that no proxy knows says nothing
    about what its session wrote; a page without that would be wrong silently.

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
    The offsets of the new term grow past it, but its entries are others.

    Given a caller "writer" at proxy 1
    And a caller "reader" at proxy 2
    When "writer" writes the line "kept"
    And the primary is changed to "orders-2"
    And "writer" writes 5 more lines
    And "reader" goes on with a token past the branch of the new term
    And "reader" reads
    Then "reader" is told "not-run:" with "were lost in a change of primary"
