Feature: Streamed responses
  A caller receives the complete response to its own request.

  Scenario: A completion is streamed
    When a caller requests a completion of 100 tokens
    Then the response is complete and as expected

  Scenario: The openai client streams a completion
    When the openai client requests a completion of 60 tokens
    Then its text is as expected

  Scenario: A stage is killed during a stream
    Given a stream of 600 tokens is in progress
    When the replica of stage 2 that the stream uses is killed
    Then the response is complete and as expected

  Scenario: The first stage is killed during a stream
    Given a stream of 600 tokens is in progress
    When the replica of stage 1 that the stream uses is killed
    Then the response is complete and as expected

  Scenario: The last stage is killed during a stream
    Given a stream of 600 tokens is in progress
    When the replica of stage 4 that the stream uses is killed
    Then the response is complete and as expected

  Scenario: 200 streams run through one entry at the same time
    When 200 callers each request a completion of 40 tokens from one entry
    Then each response is complete and as expected
