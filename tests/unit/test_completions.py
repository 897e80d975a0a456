"""Tests of request.completions and of the caller side of process.entry."""

import json
import types

import pytest
import trio

from tests.support import entries
from tests.support import sidecars

EXPECTED = sidecars.generate("abc", 7, 20)
CHAT = "/v1/chat/completions"
TEXT = "/v1/completions"
BODY = {"model": "peri", "prompt": "abc"}


@pytest.mark.parametrize("stream", [False, True])
@entries.with_cluster((0, 4))
async def test_stop_sequence_ends_the_text_and_the_work(cluster, stream):
    """Guards against text past a stop, and usage that depends on batches."""
    stop = EXPECTED[9:12]
    end = EXPECTED.index(stop)
    caller = await cluster.call(
        cluster.make_completion(
            stop=["~", stop],
            stream=stream,
            stream_options={"include_usage": True},
        )
    )
    if stream:
        assert caller.text == EXPECTED[:end]
        last = [json.loads(event) for event in caller.events[-3:-1]]
        assert last[0]["choices"][0]["finish_reason"] == "stop"
        usage = last[1]["usage"]
        assert caller.headers[b"content-type"] == b"text/event-stream"
    else:
        (choice,) = caller.json["choices"]
        assert choice["text"] == EXPECTED[:end]
        assert choice["finish_reason"] == "stop"
        usage = caller.json["usage"]
    assert usage == {
        "prompt_tokens": 3,
        "completion_tokens": end + 3,
        "total_tokens": end + 6,
    }
    assert caller.headers[b"x-request-id"] == b"r-1"
    await trio.sleep(0.1)
    assert not cluster.sidecars[0].streams


@pytest.mark.parametrize("stream", [False, True])
@entries.with_cluster((0, 4))
async def test_chat_response_has_the_openai_format(cluster, stream):
    """Guards against chunks that an OpenAI client cannot read."""
    prompt = "system: be brief\nuser: hi\nassistant:"
    expected = sidecars.generate(prompt, 7, 5)
    messages = [
        {"role": "system", "content": "be brief"},
        {"role": "user", "content": [{"type": "text", "text": "hi"}]},
    ]
    value = {"model": "peri", "messages": messages, "seed": 7, "n": 1}
    value |= {"max_completion_tokens": 5, "stream": stream}
    caller = await cluster.call(entries.Caller(CHAT, value))
    if not stream:
        (choice,) = caller.json["choices"]
        message = {"role": "assistant", "content": expected}
        assert choice["message"] == message
        assert choice["finish_reason"] == "length"
        return
    values = [json.loads(event) for event in caller.events[:-1]]
    deltas = [item["choices"][0]["delta"] for item in values]
    assert deltas[0]["role"] == "assistant"
    assert "".join(d.get("content", "") for d in deltas) == expected
    assert {item["object"] for item in values} == {"chat.completion.chunk"}
    assert len({item["id"] for item in values}) == 1


@entries.with_cluster((0, 4))
async def test_sampling_parameters_reach_the_stage(cluster):
    """Guards against clients whose sampling is refused or ignored."""
    fields = {"temperature": 0.5, "top_p": 1, "presence_penalty": None}
    await cluster.call(cluster.make_completion(**fields))
    (message,) = cluster.sidecars[0].opens
    assert json.loads(message.sampling) == {"temperature": 0.5, "top_p": 1}


@pytest.mark.parametrize(
    ("path", "fields", "place", "allowed"),
    [
        (TEXT, {"n": 2}, "n ", "1"),
        (TEXT, {"logprobs": 2}, "logprobs", "max_tokens"),
        (TEXT, {"temperature": 2.5}, "temperature", "0 to 2"),
        (TEXT, {"top_p": True}, "top_p", "0 to 1"),
        (TEXT, {"max_tokens": 0}, "max_tokens", "from 1"),
        (TEXT, {"max_tokens": 65}, "max_tokens", "1 to 64"),
        (TEXT, {"prompt": "a" * 128}, "prompt", "127 tokens"),
        (TEXT, {"prompt": [1, 256]}, "prompt[1]", "0 to 255"),
        (TEXT, {"prompt": ""}, "prompt", "not empty"),
        (TEXT, {"stop": ["a", ""]}, "stop[1]", "1 to 256"),
        (TEXT, {"stop": ["a"] * 5}, "stop", "at most 4"),
        (TEXT, {"seed": True}, "seed", "whole number"),
        (TEXT, {"stream": 1}, "stream", "true, false"),
        (TEXT, {"stream_options": {"x": 1}}, "stream_options.x", "include"),
        (TEXT, {"model": None}, "model", "name"),
        (CHAT, {"prompt": "a"}, "prompt", "messages"),
        (CHAT, {"messages": [{"role": "x"}]}, "messages[0].role", "user"),
        (
            CHAT,
            {"messages": [{"role": "user", "content": [{}]}]},
            "messages[0].content[0]",
            "text",
        ),
    ],
)
@entries.with_cluster((0, 4))
async def test_bad_field_is_named_with_the_allowed_values(
    cluster, path, fields, place, allowed
):
    """Guards against fields that are ignored or rejected without their name."""
    value = (BODY if path == TEXT else {"model": "peri"}) | fields
    caller = await cluster.call(entries.Caller(path, value))
    error = caller.json["error"]
    assert (caller.status, error["code"]) == (400, "bad-request")
    before, _, after = error["message"].partition("allowed:")
    assert before.startswith(place) and allowed in after


@pytest.mark.parametrize(
    ("caller", "status"),
    [
        (entries.Caller(TEXT, BODY, key=""), 401),
        (entries.Caller(TEXT, BODY, key="unknown"), 401),
        (entries.Caller(TEXT, BODY | {"model": "other"}), 403),
        (entries.Caller(TEXT, BODY | {"model": "peri:tidal"}), 403),
        (entries.Caller("/v1/other", BODY), 404),
        (entries.Caller(TEXT, BODY, method="GET"), 405),
        (entries.Caller(TEXT, raw=b" " * 9000), 413),
        (entries.Caller(TEXT, raw=b'{"model": }'), 400),
        (entries.Caller(TEXT, raw=b'{"seed": ' + b"1" * 5000), 400),
        (entries.Caller("/v1/models", method="GET"), 200),
        (entries.Caller("/readyz", method="GET", key=""), 200),
    ],
)
@entries.with_cluster((0, 4), body_limit_bytes=8192)
async def test_status_of_requests_that_reach_no_server(cluster, caller, status):
    """Guards against requests that pass a check or get the wrong status."""
    await cluster.call(caller)
    assert caller.status == status
    assert caller.headers[b"x-request-id"] == b"r-1"
    if status >= 400:
        error = caller.json["error"]
        assert error["verdict"] == "not-run"
        assert error["request_id"] == "r-1"
    assert not cluster.sidecars[0].log


@entries.with_cluster((0, 4))
async def test_missing_configuration_is_not_an_unknown_key(cluster):
    """Guards against a 401 for valid keys while the store is unavailable."""
    catalog = types.SimpleNamespace(revision=0)
    cluster.entry.replicator = types.SimpleNamespace(catalog=catalog)
    ready = entries.Caller("/readyz", method="GET")
    for caller in (cluster.make_completion(), ready):
        assert (await cluster.call(caller)).status == 503


@entries.with_cluster((0, 4))
async def test_slow_body_times_out(cluster):
    """Guards against callers that occupy a connection without a request."""
    caller = entries.Caller(TEXT, BODY)
    caller._arrivals.clear()
    await cluster.call(caller)
    assert caller.status == 408


@entries.with_cluster((0, 4), write_timeout_s=5.0)
async def test_slow_caller_is_cut_off_and_its_work_cancelled(cluster):
    """Guards against callers that do not read and keep a server busy."""
    caller = cluster.make_completion(60)
    caller.write_delay_s = 100
    started_at = trio.current_time()
    await cluster.call(caller)
    assert trio.current_time() - started_at < 6
    await trio.sleep(0.1)
    assert not cluster.sidecars[0].streams


@entries.with_cluster((0, 4))
async def test_waiting_tokens_are_sent_as_one_chunk(cluster):
    """Guards against one chunk for each token to a caller that is slow."""
    caller = cluster.make_completion(60)
    caller.write_delay_s = 0.2
    await cluster.call(caller)
    assert caller.text == sidecars.generate("abc", 7, 60)
    assert len(caller.events) < 15


@entries.with_cluster((0, 4))
async def test_requests_beyond_the_capacity_wait_or_are_not_run(cluster):
    """Guards against servers that get more streams than their limit."""
    cluster.sidecars[0].limit = 2
    cluster.sidecars[0].offer()
    await trio.sleep(0.1)
    callers = [cluster.start_call(cluster.make_completion()) for _ in range(12)]
    highest = 0
    await trio.sleep(0.01)
    while cluster.entry._active_requests:
        await trio.sleep(0.01)
        highest = max(highest, len(cluster.sidecars[0].streams))
    assert highest == 2
    done = [caller for caller in callers if caller.status == 200]
    assert len(done) >= 6
    assert all(caller.text == EXPECTED for caller in done)
    for caller in set(callers) - set(done):
        assert caller.json["error"]["verdict"] == "not-run"
        assert int(caller.headers[b"retry-after"]) >= 1


@entries.with_cluster((0, 4))
async def test_drain_finishes_streams_and_rejects_new_work(cluster):
    """Guards against a planned stop that interrupts a response.

    This is requirement R6 of docs/design.md.
    """
    caller = cluster.start_call(cluster.make_completion())
    await trio.sleep(0.1)
    cluster.nursery.start_soon(cluster.entry.drain)
    await trio.sleep(0.01)
    ready = await cluster.call(entries.Caller("/readyz", method="GET"))
    assert ready.status == 503
    late = await cluster.call(cluster.make_completion())
    assert late.json["error"]["code"] == "draining"
    assert not cluster.entry._stopped.is_set()
    await cluster.entry._stopped.wait()
    assert caller.text == EXPECTED and caller.events[-1] == "[DONE]"


@entries.with_cluster((0, 4))
async def test_durations_are_recorded_for_the_workspace(cluster):
    """Guards against missing histograms of the service level."""
    await cluster.call(cluster.make_completion())
    found = cluster.entry.metrics.histograms.summarize()
    keys = [(s.key.figure, s.key.workspace, s.key.priority) for s in found]
    assert keys == [
        (name, "north", "normal")
        for name in ("between_tokens", "first_token", "request")
    ]
