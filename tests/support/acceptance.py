"""Helpers of the acceptance tests (tests/features), which run in real time."""

import threading
import time

from peridotyard_cli import demo
from peridotyard_cli import local
from peridotyard_emulator import callers
import trio

# Far more than a condition usually needs, since the machine may be busy. All
# conditions are polled, so a passing run does not take this long.
TIMEOUT_S = 60.0
POLL_S = 0.05


def wait_until(condition: str, check, timeout_s: float = TIMEOUT_S):
    """Returns the first true value of `check`, or fails after the timeout.

    Args:
        condition: What is waited for, for the error message.
        check: Called until it returns a true value.
        timeout_s: Time limit in seconds.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = check()
        if value:
            return value
        assert (
            time.monotonic() < deadline
        ), f"timed out after {timeout_s:g} s: {condition}"
        time.sleep(POLL_S)


def restore_deployment(deployment: local.Deployment) -> None:
    """Starts stopped processes, and waits until entries use all sidecars."""
    for plan in deployment.plans:
        if not deployment.is_running(plan.name):
            deployment.restart(plan.name)
    wanted = {p.name for p in deployment.plans if p.role == "sidecar"}
    missing = {}

    def is_restored() -> bool:
        missing.clear()
        for number in range(local.ENTRIES):
            missing[number] = wanted - demo.list_usable_sidecars(
                deployment, number
            )
        return not any(missing.values())

    try:
        wait_until("every entry can use every backend server", is_restored)
    except AssertionError as error:
        raise AssertionError(f"{error}; missing: {missing}") from None


class BackgroundStream:
    """A stream that a thread reads while the scenario continues.

    Attributes:
        prompt: Request of the stream.
        text: Text received so far.
        response: Response to the request; None until the stream has ended.
    """

    def __init__(self, url: str, key: str, prompt: callers.Prompt):
        self.prompt = prompt
        self.text = ""
        self.response = None
        self._thread = threading.Thread(
            target=trio.run, args=(self._read, url, key), daemon=True
        )
        self._thread.start()

    def wait_for_text(self, characters: int) -> None:
        """Waits until the stream has this much text and is still open."""
        wait_until(
            f"{characters} characters of the stream",
            lambda: len(self.text) >= characters or self.response,
        )
        assert self.response is None, f"the stream has ended: {self.response}"

    def wait_for_end(self) -> callers.Response:
        """Waits for the end of the stream and returns the response."""
        self._thread.join(TIMEOUT_S)
        assert (
            self.response is not None
        ), f"the stream did not end, {len(self.text)} characters"
        return self.response

    async def _read(self, url, key):
        async with callers.Caller(url, key, TIMEOUT_S) as caller:
            self.response = await caller.stream(self.prompt, self._record_text)

    def _record_text(self, text):
        self.text = text


def stream_all(
    url: str, key: str, prompts: list[callers.Prompt]
) -> list[callers.Response]:
    """Reads concurrent streams; returns them in the order of the prompts."""
    responses = [None] * len(prompts)

    async def read_one(caller, index):
        responses[index] = await caller.stream(prompts[index])

    async def read_all():
        async with callers.Caller(url, key, TIMEOUT_S) as caller:
            async with trio.open_nursery() as nursery:
                for index in range(len(prompts)):
                    nursery.start_soon(read_one, caller, index)

    trio.run(read_all)
    return responses


def call(url, key, method, path, value=None, idempotency_key=""):
    """Sends one request; see `callers.Caller.call`."""

    async def send():
        async with callers.Caller(url, key, TIMEOUT_S) as caller:
            return await caller.call(method, path, value, idempotency_key)

    return trio.run(send)
