"""Steps of streamed responses and of graceful shutdown."""

import behave
import openai
from peridotyard_cli import demo
from peridotyard_cli import local

from tests.support import acceptance


@behave.when("a caller requests a completion of {count:d} tokens")
def request_completion(context, count):
    (url, *_), key = context.deployment.entry_urls, context.deployment.keys
    context.prompts = [demo.make_prompt("Summarize plot 7.", count)]
    context.responses = acceptance.stream_all(
        url, key["survey"], context.prompts
    )


@behave.when(
    "{callers:d} callers each request a completion of {count:d} tokens from"
    " one entry"
)
def request_completions(context, callers, count):
    context.prompts = [
        demo.make_prompt(f"Summarize plot {number}.", count, seed=number)
        for number in range(callers)
    ]
    context.responses = acceptance.stream_all(
        context.deployment.entry_urls[0],
        context.deployment.keys["survey"],
        context.prompts,
    )


@behave.then("each response is complete and as expected")
def check_responses(context):
    texts = {prompt.generate() for prompt in context.prompts}
    # With equal texts, a response to the wrong caller would go unnoticed.
    assert len(texts) == len(context.prompts)
    for prompt, response in zip(
        context.prompts, context.responses, strict=True
    ):
        demo.check_stream(prompt, response)


@behave.when("the openai client requests a completion of {count:d} tokens")
def request_with_openai(context, count):
    context.prompt = demo.make_prompt("Summarize plot 9.", count)
    with openai.OpenAI(
        base_url=f"{context.deployment.entry_urls[1]}/v1",
        api_key=context.deployment.keys["travel"],
        timeout=acceptance.TIMEOUT_S,
        max_retries=0,
    ) as client:
        chunks = client.completions.create(
            model=local.MODEL,
            prompt=context.prompt.text,
            seed=context.prompt.seed,
            max_tokens=count,
            stream=True,
        )
        parts = []
        for chunk in chunks:
            parts += [choice.text for choice in chunk.choices]
        context.streamed = "".join(parts)
        context.model_names = [item.id for item in client.models.list()]


@behave.then("its text is as expected")
def check_text(context):
    expected = context.prompt.generate()
    assert context.streamed == expected, (context.streamed, expected)
    assert context.model_names == [local.MODEL], context.model_names


@behave.given("a stream of {count:d} tokens is in progress")
def start_stream(context, count):
    prompt = demo.make_prompt("Summarize the whole ridge.", count)
    context.snapshot = demo.StepSnapshot(context.deployment)
    context.stream = acceptance.BackgroundStream(
        context.deployment.entry_urls[0],
        context.deployment.keys["survey"],
        prompt,
    )
    context.stream.wait_for_text(20)


@behave.when("the replica of stage {stage:d} that the stream uses is killed")
def kill_stage(context, stage):
    name = context.snapshot.find_replica(stage)
    context.deployment.kill(name)
    context.deployment.kill(f"sidecar-{name}")
    assert context.stream.response is None, "the kill came after the stream"


@behave.when(
    "the sidecar of stage {stage:d} that the stream uses is asked to stop"
)
def stop_sidecar(context, stage):
    context.stopped = f"sidecar-{context.snapshot.find_replica(stage)}"
    context.deployment.terminate(context.stopped)
    assert context.stream.response is None, "the stop came after the stream"


@behave.when("its entry is asked to stop")
def stop_entry(context):
    context.stopped = "entry-1"
    context.deployment.terminate(context.stopped)
    assert context.stream.response is None, "the stop came after the stream"


@behave.then("the entry is not ready")
def check_not_ready(context):
    url = f"{context.deployment.entry_urls[0]}/readyz"
    # Status 0 is accepted as well: the entry may have closed its listener.
    acceptance.wait_until(
        "/readyz fails", lambda: local.send("GET", url).status != 200
    )


@behave.then("the response is complete and as expected")
def check_response(context):
    if "stream" in context:
        response = context.stream.wait_for_end()
        demo.check_stream(context.stream.prompt, response)
        return
    demo.check_stream(context.prompts[0], context.responses[0])


@behave.then("the process exits with status 0")
def check_exit(context):
    status = context.deployment.wait(context.stopped, acceptance.TIMEOUT_S)
    assert status == 0, f"{context.stopped}: status {status}"


@behave.then("new streams are complete and as expected")
def check_new_streams(context):
    stream_through(context, context.deployment.entry_urls[0])


@behave.then("the other entry serves new streams")
def check_other_entry(context):
    stream_through(context, context.deployment.entry_urls[1])


def stream_through(context, url):
    prompts = [demo.make_prompt(f"Plot {n}.", 20, n) for n in range(10)]
    key = context.deployment.keys["survey"]
    responses = acceptance.stream_all(url, key, prompts)
    for prompt, response in zip(prompts, responses, strict=True):
        demo.check_stream(prompt, response)
