@whole-answers
Feature: Every caller gets the whole answer to its own request

  Answers arrive late, are cut off or are larger than the proxy's memory. A caller that
  reads another caller's answer, or takes a partial result for a complete one, shows
  one shopper's order to another.

  @guard.late-answer-kept
  Scenario: A late answer is never read as the next statement's
    The statement takes longer than its deadline. Its answer arrives on a connection
    that the next statement could use.

    Given statements take 600 ms at every backend server
    And a caller "agent" at proxy 1
    When "agent" asks for 6 different numbers within 200 and 5000 ms in turn
    Then each answer to "agent" has the number that was asked for
    And "agent" was answered at least 3 times

  @guard.broken-result-ended
  Scenario: A connection that falls silent in the middle of a result gives an error
    Given a caller "agent" at proxy 1 that reads row by row
    When "agent" begins to read 30000 rows of 1000 bytes within 4000 ms
    And every connection to the backend servers falls silent
    Then "agent" gets an error instead of the rest of the rows

  @guard.results-buffered
  Scenario: A huge result streams whole with bounded memory
    Given a caller "agent" at proxy 1 that reads row by row
    When "agent" begins to read 200000 rows of 500 bytes within 60000 ms
    Then "agent" gets all the rows
    And the memory of proxy 1 has grown by less than 48 MB

  @guard.packets-unbounded
  Scenario: Malformed and oversized packets hurt only their sender
    Given a caller "agent" at proxy 1
    When "agent" begins a transaction
    And "agent" writes the line "draft"
    And a caller sends proxy 1 a packet of 17 MB
    And a caller sends proxy 1 malformed packets
    And "agent" commits
    Then "large" is told "not-run:" with "the request has more than"
    And the callers with the malformed packets are cut off
    And "agent" is told "ok"
    And "draft" is at every backend server

  @guard.parameters-unescaped
  Scenario: Parameters of prepared statements stay values
    Given a caller "agent" at proxy 1
    When prepared statements write and read these lines at proxy 1
      | line                                   |
      | O'Brien's order                        |
      | back\slash and "double" quotes         |
      | '); DELETE FROM lines; --              |
      | a ? and /*session='x'*/ in the text    |
    Then each line was read as it was written
