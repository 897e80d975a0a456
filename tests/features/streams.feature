Feature: Streamed responses
  A caller receives the complete response to its own request.

  Scenario: A briefing is streamed
    When a crew requests a briefing of 100 tokens
    Then the response is complete and as expected

  Scenario: The openai client streams a completion
    When the openai client requests a briefing of 60 tokens
    Then its text is as expected

  Scenario: A stage is killed in mid-stream
    Given a stream of 600 tokens is in progress
    When the holder of stage 2 that the stream uses is killed
    Then the response is complete and as expected

  Scenario: The first stage is killed in mid-stream
    Given a stream of 600 tokens is in progress
    When the holder of stage 1 that the stream uses is killed
    Then the response is complete and as expected

  Scenario: The last stage is killed in mid-stream
    Given a stream of 600 tokens is in progress
    When the holder of stage 4 that the stream uses is killed
    Then the response is complete and as expected

  Scenario: 200 streams run through one entry at the same time
    When 200 crews each request a briefing of 40 tokens from one entry
    Then each response is complete and as expected
