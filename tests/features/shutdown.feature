Feature: Graceful shutdown
  A graceful shutdown interrupts no request.

  Scenario: A sidecar is stopped during a stream
    Given a stream of 600 tokens is in progress
    When the sidecar of stage 3 that the stream uses is asked to stop
    Then the response is complete and as expected
    And the process exits with status 0
    And new streams are complete and as expected

  Scenario: An entry is stopped during a stream
    Given a stream of 600 tokens is in progress
    When its entry is asked to stop
    Then the entry is not ready
    And the response is complete and as expected
    And the process exits with status 0
    And the other entry serves new streams
