"""Steps of calls of plain services."""

import uuid

import behave
from peridotyard_cli import demo
from peridotyard_cli import local

from tests.support import acceptance

PATH = local.make_path("ledger")


def submit(context, entry, value, key):
    return acceptance.call(
        context.deployment.entry_urls[entry],
        context.deployment.keys["survey"],
        "POST",
        PATH,
        value,
        key,
    )


def submit_each(context, entries, tallies):
    context.tally = tallies[0]["id"]
    key = uuid.uuid4().hex
    context.responses = [
        submit(context, entry, tally, key)
        for entry, tally in zip(entries, tallies, strict=True)
    ]


@behave.when("a caller submits a tally twice with the same key")
def submit_twice(context):
    submit_each(context, (0, 0), [demo.make_tally()] * 2)


@behave.when("a caller submits a tally through each entry with the same key")
def submit_through_each_entry(context):
    submit_each(context, (0, 1), [demo.make_tally()] * 2)


@behave.when("a caller submits two different tallies with the same key")
def submit_different(context):
    tally = demo.make_tally()
    submit_each(context, (0, 0), [tally, tally | {"count": 42}])
    assert context.responses[0].is_success, context.responses[0]


@behave.then("both responses are the same")
def check_same(context):
    first, second = context.responses
    assert first.is_success, first
    assert second.is_success, second
    assert second.body == first.body


@behave.then("the ledger counted the tally once")
def check_counted_once(context):
    count = demo.count_executions(context.deployment, "ledger", context.tally)
    assert count == 1, f"counted {count} times"


@behave.when("a caller submits a tally without a key")
def submit_without_key(context):
    context.responses = [submit(context, 0, demo.make_tally(), "")]


@behave.when("a caller with an unknown API key requests a model and a service")
def request_with_unknown_key(context):
    url = context.deployment.entry_urls[0]
    body = {"model": local.MODEL, "prompt": "a", "max_tokens": 1}
    context.responses = [
        acceptance.call(url, "unknown", "POST", "/v1/completions", body),
        acceptance.call(url, "unknown", "POST", PATH, demo.make_tally(), "k"),
    ]


@behave.when("a caller calls the service of another workspace")
def call_foreign_service(context):
    path = local.make_path("bookings", "none")
    context.responses = [
        acceptance.call(
            context.deployment.entry_urls[0],
            context.deployment.keys["survey"],
            "GET",
            path,
        )
    ]


@behave.then('it is refused with {status:d} "{code}" as {verdict}')
@behave.then('both are refused with {status:d} "{code}" as {verdict}')
def check_all_refused(context, status, code, verdict):
    for response in context.responses:
        check_refusal(response, status, code, verdict)


@behave.then('the second is refused with {status:d} "{code}" as {verdict}')
def check_second_refused(context, status, code, verdict):
    check_refusal(context.responses[1], status, code, verdict)


def check_refusal(response, status, code, verdict):
    got = (response.status, response.code, response.verdict)
    assert got == (status, code, verdict), got
