Feature: Calls of plain services
  A non-idempotent call runs at most once.

  Scenario: A tally is submitted twice
    When a caller submits a tally twice with the same key
    Then both responses are the same
    And the ledger counted the tally once

  Scenario: A tally is submitted again through the other entry
    When a caller submits a tally through each entry with the same key
    Then both responses are the same
    And the ledger counted the tally once

  Scenario: A key is used with another tally
    When a caller submits two different tallies with the same key
    Then the second is refused with 422 "idempotency-key-reused" as not-run
    And the ledger counted the tally once

  Scenario: A tally without a key
    When a caller submits a tally without a key
    Then it is refused with 400 "idempotency-key-required" as not-run

  Scenario: An unknown API key
    When a caller with an unknown API key requests a model and a service
    Then both are refused with 401 "unauthorized" as not-run

  Scenario: A service of another workspace
    When a caller calls the service of another workspace
    Then it is refused with 403 "forbidden" as not-run
