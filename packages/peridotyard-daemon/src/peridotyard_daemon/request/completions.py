"""Serves OpenAI-compatible completion requests at the entry."""

import dataclasses
import json
import random as random_module
import time

from peridotyard_core import admission
from peridotyard_core import budgets
from peridotyard_core import errors
from peridotyard_core import membership
from peridotyard_core import pipelines
from peridotyard_core import prefixes
from peridotyard_core import tokens
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import http
from peridotyard_daemon.process import logs
from peridotyard_daemon.request import chains
from peridotyard_daemon.request import holders
from peridotyard_daemon.request import parameters
from peridotyard_daemon.request import traces
from peridotyard_daemon.wire.generated import ttypes

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
EVENT_TYPE = b"text/event-stream"
DONE = b"data: [DONE]\n\n"

_log = logs.Logger("completions")


class SlowCallerError(errors.PeridotyardError):
    """The caller did not read a chunk of its response in time."""


@dataclasses.dataclass(eq=False)
class _QueuedRequest:
    """A queued request; `started` is set with a chain or a failure."""

    job: chains.Job
    started: trio.Event = dataclasses.field(default_factory=trio.Event)
    chain: pipelines.Chain | None = None
    failure: verdicts.Failure | None = None


class Completions:
    """The completion requests of an entry, owned by the entry."""

    def __init__(
        self,
        settings,
        peers,
        table: membership.RoutingTable,
        find_catalog,
        metrics,
        random: random_module.Random,
        clock=time.time,
    ):
        """Creates the handler.

        Args:
            settings: `settings.EntrySettings`.
            peers: `connection.peers.Peers` of the entry.
            table: Routing table, updated by the entry.
            find_catalog: Function that returns the current catalog.
            metrics: `process.metrics.Metrics`.
            random: Source of stream ids and seeds, and of choices between ties.
            clock: Seconds since the epoch, for the field "created".
        """
        self._settings = settings
        self._find_catalog = find_catalog
        self._metrics = metrics
        self._random = random
        self._clock = clock
        self._queues: dict[tuple[str, str], admission.Queue] = {}
        self._responses: dict[int, chains.Response] = {}
        self._traces = traces.Traces()
        selector = pipelines.LeastLoadSelector(random)
        self.holders = None
        if settings.prefixes_enabled:
            self.holders = holders.PrefixTracker(
                selector, metrics, random, settings.zone
            )
        self.context = chains.ResponseContext(
            peers,
            table,
            selector,
            budgets.RetryBudget(),
            chains.CloseOutbox(
                peers,
                2 * settings.heartbeat_s * settings.heartbeat_misses,
            ),
            chains.Timing.from_config(settings),
            metrics,
            random,
            self.holders,
        )

    @property
    def in_flight(self) -> int:
        """Number of running responses."""
        return len(self._responses)

    def find_trace(self, request_id: str) -> dict | None:
        """Returns the trace of a running or recent request, or None."""
        for response in self._responses.values():
            if response.job.request_id == request_id:
                return make_trace(response, "running")
        return self._traces.find(request_id)

    def handle_connected(self, connection) -> None:
        """Resends messages that the new connection's peer may lack."""
        self.context.close_outbox.handle_connected(connection)

    def handle_closed(self, connection) -> None:
        """Reconnects to the stages whose connection ended."""
        for response in list(self._responses.values()):
            response.handle_closed(chains.find_address(connection))

    def handle_frame(self, connection, frame: ttypes.Frame) -> bool:
        """Handles a frame of a stream; returns False for other frames."""
        if frame.token_batch is not None:
            self._handle_tokens(connection, frame.token_batch)
        elif frame.stream_opened is not None:
            response = self._find_response(connection, frame.stream_opened)
            if response is not None:
                response.handle_opened(frame.stream_opened)
        elif frame.stream_refused is not None:
            response = self._responses.get(frame.stream_refused.stream)
            if response is not None:
                response.handle_refused(frame.stream_refused)
        elif frame.stream_failed is not None:
            response = self._responses.get(frame.stream_failed.stream)
            if response is not None:
                response.handle_failed(
                    chains.find_address(connection), frame.stream_failed
                )
        elif self.holders is not None and frame.prefix_hit is not None:
            address = chains.find_address(connection)
            self.holders.record_hit(address, frame.prefix_hit)
        elif self.holders is not None and frame.cache_news is not None:
            address = chains.find_address(connection)
            self.holders.apply_news(address, frame.cache_news)
        else:
            return False
        return True

    def handle_capacity(self) -> None:
        """Starts queued requests; called when an offer has changed."""
        for queue in list(self._queues.values()):
            self._start_queued(queue)

    async def handle(
        self, request: http.Request, workspace, request_id: str, receive, send
    ) -> None:
        """Serves one request; see `CHAT_PATH` and `TEXT_PATH`.

        Raises:
            http.CallerGoneError: The caller disconnected; its work is
                cancelled.
        """
        exchange = Exchange(
            self._settings.write_timeout_s, request_id, int(self._clock()), send
        )
        started_at = trio.current_time()
        response = None
        try:
            body = await http.read_body(
                receive,
                self._settings.body_limit_bytes,
                self._settings.body_timeout_s,
            )
            exchange.parameters = parameters.Parameters.from_body(
                http.parse_json(body), request.path == CHAT_PATH
            )
            job = self._make_job(exchange.parameters, workspace, request_id)
            response = chains.Response(job, self.context)
            disconnected = await self._serve(
                response, workspace, exchange, receive
            )
            if disconnected:
                raise http.CallerGoneError("the caller disconnected")
        except http.RequestError as error:
            await exchange.send_failure(error.failure)
        except SlowCallerError:
            exchange.outcome = "slow-caller"
        except http.CallerGoneError:
            exchange.outcome = "caller-gone"
            raise
        finally:
            self._record_end(exchange, workspace, response, started_at)

    async def _serve(self, response, workspace, exchange, receive) -> bool:
        """Runs a response; returns whether its caller disconnected."""
        disconnected = False

        async def watch() -> None:
            nonlocal disconnected
            while (await receive())["type"] != "http.disconnect":
                pass
            disconnected = True
            nursery.cancel_scope.cancel()

        failure = slow = None
        # A nursery wraps exceptions in a group, so its body stores them in
        # variables instead of raising them.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            try:
                chain = await self._admit(response.job, workspace)
                self._responses[response.stream_id] = response
                nursery.start_soon(response.run, chain)
                await exchange.deliver(response)
            except http.RequestError as error:
                failure = error
            except SlowCallerError as error:
                slow = error
            finally:
                self._responses.pop(response.stream_id, None)
            nursery.cancel_scope.cancel()
        self.handle_capacity()
        if exchange.is_ended:
            self.context.budget.record_success()
        elif failure is not None or slow is not None:
            raise failure or slow
        return disconnected and not exchange.is_ended

    async def _admit(self, job: chains.Job, workspace) -> pipelines.Chain:
        now = trio.current_time()
        queued = _QueuedRequest(job)
        # A request that starts after this would exceed the time limit of its
        # first token.
        deadline = min(now + self.context.timing.first_token_s, job.deadline)
        ticket = admission.Ticket(
            workspace.name,
            job.priority,
            workspace.weight,
            deadline,
            item=queued,
        )
        queue = self._queues.setdefault(
            (job.model, job.version), admission.Queue()
        )
        failure = queue.add(ticket, now)
        if failure is not None:
            raise http.RequestError(failure)
        try:
            self._start_queued(queue)
            with trio.move_on_at(deadline):
                await queued.started.wait()
        except trio.Cancelled:
            # The request may have been started just before its cancellation.
            if queued.chain is not None:
                self.context.table.remove_stream(queued.chain)
            raise
        finally:
            queue.remove(ticket)
        if queued.chain is not None:
            return queued.chain
        raise http.RequestError(
            queued.failure
            or verdicts.make_not_run_failure(
                "deadline-exceeded",
                "All servers were busy until the time limit.",
                max(1.0, queue.estimate_wait(job.priority)),
            )
        )

    def _start_queued(self, queue: admission.Queue) -> None:
        while (ticket := queue.peek()) is not None:
            queued = ticket.item
            queued.chain = self.context.find_chain(queued.job)
            if queued.chain is None:
                if self.context.has_chain(queued.job):
                    return
                queued.failure = verdicts.make_not_run_failure(
                    "no-capacity",
                    "No servers hold all layers of the model now.",
                    1.0,
                )
            else:
                # Counted at once, so that it limits the next queued request.
                self.context.table.add_stream(queued.chain)
            queue.pop(trio.current_time())
            queued.started.set()

    def _make_job(
        self, values: parameters.Parameters, workspace, request_id: str
    ) -> chains.Job:
        name, _, adapter = values.model.partition(":")
        model = self._find_catalog().find_model(name)
        if (
            model is None
            or name not in workspace.models
            or (
                adapter
                and not (
                    adapter in model.adapters and adapter in workspace.adapters
                )
            )
        ):
            allowed = ", ".join(list_models(self._find_catalog(), workspace))
            raise http.RequestError(
                verdicts.make_not_run_failure(
                    "forbidden",
                    f"model {values.model!r} is not a model of this"
                    f" workspace; allowed: {allowed or 'none'}.",
                )
            )
        max_tokens = check_lengths(values, model)
        seed = values.seed
        if seed is None:
            seed = self._random.getrandbits(63)
        return chains.Job(
            request_id,
            workspace.name,
            admission.PRIORITIES.index(workspace.priority),
            model.name,
            model.version,
            adapter,
            model.layers,
            values.prompt,
            max_tokens,
            seed,
            values.hash_content(),
            trio.current_time() + self._settings.request_timeout_s,
            values.sampling,
            None
            if self.holders is None
            else prefixes.Prompt(
                values.prompt,
                model.name,
                model.version,
                adapter,
                workspace.name,
            ),
        )

    def _find_response(self, connection, message) -> chains.Response | None:
        """Returns the response of a message; closes an unknown stream."""
        response = self._responses.get(message.stream)
        if response is None:
            # The stream's StreamClose was lost, or was sent while this message
            # was in transit.
            connection.post(
                ttypes.Frame(
                    stream_close=ttypes.StreamClose(
                        stream=message.stream,
                        generation=message.generation,
                        reason="unknown stream",
                    )
                )
            )
        return response

    def _handle_tokens(self, connection, batch: ttypes.TokenBatch) -> None:
        for token in batch.tokens:
            response = self._find_response(connection, token)
            if response is not None:
                response.handle_token(token)

    def _record_end(self, exchange, workspace, response, started_at) -> None:
        duration_s = trio.current_time() - started_at
        names = (workspace.name, workspace.priority)
        self._metrics.record("request", *names, duration_s)
        self._metrics.increment(f"requests.{exchange.outcome}")
        fields = {}
        if response is not None:
            fields = {
                "model": response.job.model,
                "tokens": len(response.state.accepted),
                "recoveries": response.recoveries,
            }
            self._traces.record(
                exchange.request_id, make_trace(response, exchange.outcome)
            )
        _log.info(
            "request ended",
            request=exchange.request_id,
            workspace=workspace.name,
            priority=workspace.priority,
            outcome=exchange.outcome,
            duration_ms=round(duration_s * 1000),
            **fields,
        )


def make_trace(response: chains.Response, outcome: str) -> dict:
    """Returns the trace of a response, a JSON value for operators."""
    job = response.job
    return {
        "request_id": job.request_id,
        "workspace": job.workspace,
        "priority": admission.PRIORITIES[job.priority],
        "model": job.model,
        "version": job.version,
        "outcome": outcome,
        "prompt_tokens": len(job.prompt),
        "tokens": len(response.state.accepted),
        "events": list(response.events),
    }


def list_models(catalog, workspace) -> list[str]:
    """Returns the values that the field "model" may have in a workspace."""
    names = []
    for name in workspace.models:
        model = catalog.find_model(name)
        if model is not None:
            names.append(name)
            names += [
                f"{name}:{adapter}"
                for adapter in model.adapters
                if adapter in workspace.adapters
            ]
    return names


def check_lengths(values: parameters.Parameters, model) -> int:
    """Returns the limit of tokens to generate.

    Raises:
        http.RequestError: The prompt or max_tokens is too long for the model.
    """
    space = model.context_tokens - len(values.prompt)
    if space < 1:
        place = "messages" if values.is_chat else "prompt"
        raise parameters.reject(
            place,
            f"at most {model.context_tokens - 1} tokens",
            f"has {len(values.prompt)} tokens",
        )
    highest = min(model.max_tokens, space)
    requested = values.max_tokens
    if requested is not None and requested > highest:
        raise parameters.reject(
            "max_tokens", f"a whole number from 1 to {highest}"
        )
    return requested or highest


class Exchange:
    """The response to one completion request, owned by its request.

    Attributes:
        parameters: The checked body, None before the check.
        outcome: For log, metrics and trace: "ended", the code of a failure,
            "slow-caller" or "caller-gone".
        is_ended: Whether the caller has the complete response.
    """

    def __init__(
        self, write_timeout_s: float, request_id: str, created: int, send
    ):
        self.request_id = request_id
        self.parameters: parameters.Parameters | None = None
        self.outcome = "internal"
        self.is_ended = False
        self._write_timeout_s = write_timeout_s
        self._created = created
        self._send = send
        self._is_started = False
        self._token_count = 0
        self._texts: list[str] = []

    async def deliver(self, response: chains.Response) -> None:
        """Sends a response as a stream of events or as one JSON object.

        Raises:
            http.RequestError: The response failed.
            SlowCallerError: The caller did not read a chunk in time.
        """
        decoder = tokens.Decoder()
        scanner = tokens.StopScanner(self.parameters.stops)
        while not scanner.stopped:
            batch = await response.receive()
            if not batch:
                break
            text = ""
            for token in batch:
                self._token_count += 1
                text += scanner.feed(decoder.feed([token]))
                # Tokens after the stop sequence are not counted, so that the
                # usage does not depend on how the tokens were batched.
                if scanner.stopped:
                    break
            await self._add_text(text)
        if response.failure is not None and not scanner.stopped:
            raise http.RequestError(response.failure)
        text = scanner.feed(decoder.finish()) + scanner.finish()
        await self._add_text(text)
        finish = "stop" if scanner.stopped else response.state.finish
        await self._finish(finish, len(response.job.prompt))
        self.is_ended = True
        self.outcome = "ended"

    async def send_failure(self, failure: verdicts.Failure) -> None:
        """Sends a failure as a response, or as an event of a begun stream."""
        self.outcome = failure.code
        try:
            if not self._is_started:
                await self._write(
                    http.send_failure, self._send, failure, self.request_id
                )
                return
            value = http.render_failure(failure, self.request_id)
            # There is no [DONE] event, since the stream is incomplete.
            await self._send_body(render_event(value), more=False)
        except SlowCallerError:
            self.outcome = "slow-caller"

    async def _add_text(self, text: str) -> None:
        if not text:
            return
        if self.parameters.is_streamed:
            await self._send_chunk(text, None)
        else:
            self._texts.append(text)

    async def _finish(self, finish: str, prompt_count: int) -> None:
        usage = {
            "prompt_tokens": prompt_count,
            "completion_tokens": self._token_count,
            "total_tokens": prompt_count + self._token_count,
        }
        if not self.parameters.is_streamed:
            value = self._make_value("", [self._make_complete_choice(finish)])
            value["usage"] = usage
            headers = {"x-request-id": self.request_id}
            await self._write(http.send_json, self._send, 200, value, headers)
            return
        await self._send_chunk("", finish)
        if self.parameters.has_usage:
            value = self._make_value(".chunk", [])
            value["usage"] = usage
            await self._send_body(render_event(value))
        await self._send_body(DONE, more=False)

    async def _send_chunk(self, text: str, finish: str | None) -> None:
        is_first = not self._is_started
        if is_first:
            await self._start()
        if not self.parameters.is_chat:
            choice = {"text": text, "logprobs": None}
        else:
            delta = {"content": text} if text else {}
            choice = {"delta": {"role": "assistant"} if is_first else {}}
            choice["delta"] |= delta
        choice |= {"index": 0, "finish_reason": finish}
        await self._send_body(
            render_event(self._make_value(".chunk", [choice]))
        )

    async def _start(self) -> None:
        # Called at the first token, so that a failure before it has an HTTP
        # status of its own.
        headers = {
            "content-type": EVENT_TYPE.decode(),
            "cache-control": "no-cache",
            "x-request-id": self.request_id,
        }
        self._is_started = True
        await self._write(
            self._send,
            {
                "type": "http.response.start",
                "status": 200,
                "headers": http.encode_headers(headers),
            },
        )

    async def _send_body(self, body: bytes, more: bool = True) -> None:
        await self._write(
            self._send,
            {"type": "http.response.body", "body": body, "more_body": more},
        )

    async def _write(self, function, *args) -> None:
        try:
            with trio.fail_after(self._write_timeout_s):
                await function(*args)
        except trio.TooSlowError as error:
            raise SlowCallerError("the caller did not read in time") from error

    def _make_complete_choice(self, finish: str) -> dict:
        text = "".join(self._texts)
        choice = {"index": 0, "finish_reason": finish}
        if self.parameters.is_chat:
            message = {"role": "assistant", "content": text}
            return choice | {"message": message}
        return choice | {"text": text, "logprobs": None}

    def _make_value(self, suffix: str, choices: list) -> dict:
        prefix = "chatcmpl" if self.parameters.is_chat else "cmpl"
        is_chat = self.parameters.is_chat
        return {
            "id": f"{prefix}-{self.request_id}",
            "object": (
                f"chat.completion{suffix}" if is_chat else "text_completion"
            ),
            "created": self._created,
            "model": self.parameters.model,
            "choices": choices,
        }


def render_event(value: dict) -> bytes:
    """Returns a server-sent event that has a JSON value as its data."""
    return b"data: " + json.dumps(value).encode() + b"\n\n"
