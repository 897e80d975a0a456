"""A scripted sidecar that exchanges the messages of streams."""

import zlib

from peridotyard_core import addresses
from peridotyard_daemon.connection import peers
from peridotyard_daemon.wire.generated import ttypes
import trio

TIMING = peers.Timing(heartbeat_s=0.2, misses=3, dial_s=0.5)


def make_token(seed: int, tokens: list[int]) -> int:
    """Returns the token after a sequence; it depends on all of them."""
    return ord("a") + (zlib.crc32(bytes(tokens)) + seed) % 26


def generate(prompt: str, seed: int, count: int) -> str:
    """Returns the text of a complete response."""
    tokens = list(prompt.encode())
    for _ in range(count):
        tokens.append(make_token(seed, tokens))
    return bytes(tokens[len(prompt) :]).decode()


class Sidecar:
    """One stage of a chain, whose behaviour a test can change while it runs.

    Attributes:
        step_s: Seconds for each step.
        refusal: Code with which streams are refused, empty to accept them.
        ignores_open: Ignores StreamOpen.
        is_stalled: Accepts streams but runs no step.
        fails_at: Sends StreamFailed instead of running this many tokens.
        unreachable: Index of the stage that it then reports as unreachable, if
            any.
        drops_tokens: Sends no tokens to the entry.
        log: Received messages of streams in order: name, generation.
        ran: Stream, generation and length of the sequence of each step.
        opens: Received StreamOpen messages in order.
        limit: Number of concurrent streams that it offers to run.
        cache: Prefix cache that its offers state, if any.
        held: Positions that it reports to hold, None to report nothing.
        is_ready: Whether its offers say that it is ready.
        is_draining: Whether its offers say that it is draining.
        streams: StreamOpen message of each open stream.
        sequences: Tokens of each stream: the prompt and the response so far.
        retained: Generated tokens of each stream, to be sent on StreamAttach.
        entry: Connection of the entry.
    """

    def __init__(self, network, number, first_layer, end_layer, limit=8):
        self.address = addresses.Address("10.0.0.1", number)
        self.name = f"s{number}"
        self.layers = (first_layer, end_layer)
        self.limit = limit
        self.cache = self.held = None
        self.step_s = 0.01
        self.refusal = ""
        self.ignores_open = self.is_stalled = self.drops_tokens = False
        self.is_ready, self.is_draining = True, False
        self.fails_at = self.unreachable = None
        self.log, self.ran, self.opens = [], [], []
        self.incarnation = number
        self.network = network
        self.streams = {}
        self.sequences = {}
        self.retained = {}
        self.entry = None
        self.peers = None
        self._sequence = 0
        self._scope = trio.CancelScope()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        host = self.network.join(str(self.address))
        self.peers = peers.Peers(host, self, TIMING)
        with self._scope:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await nursery.start(self.peers.run, self.address)
                task_status.started()

    def kill(self):
        self.network.stop_serving(str(self.address))
        self.network.reset(str(self.address))
        self._scope.cancel()
        self.streams.clear()

    def restart(self):
        self.incarnation += 100
        self.streams.clear()
        self.network.reset(str(self.address))

    def fail(self):
        self.fails_at = 0

    def stall(self):
        self.is_stalled = True

    def offer(self):
        self._sequence += 1
        self.entry.post(
            ttypes.Frame(
                offer=ttypes.Offer(
                    instance=self.name,
                    kind="model",
                    model="peri",
                    version="1",
                    first_layer=self.layers[0],
                    end_layer=self.layers[1],
                    ready=self.is_ready,
                    draining=self.is_draining,
                    limit=self.limit,
                    sequence=self._sequence,
                    cache=self.cache,
                )
            )
        )

    def make_hello(self):
        return ttypes.Hello(
            instance=self.name,
            role="sidecar",
            address=str(self.address),
            incarnation=self.incarnation,
            protocol=peers.PROTOCOL_VERSION,
        )

    def make_heartbeat(self):
        return ttypes.Heartbeat()

    def handle_connected(self, connection):
        if connection.peer.role == "entry":
            self.entry = connection
            self.offer()

    def handle_closed(self, connection, reason):
        pass

    def handle_frame(self, connection, frame):
        if frame.stream_open is not None:
            self._open(frame.stream_open)
        elif frame.step_batch is not None:
            for step in frame.step_batch.steps:
                self._nursery.start_soon(self._run_step, step)
        elif frame.stream_attach is not None:
            message = frame.stream_attach
            self.log.append(("attach", message.generation))
            self.post_tokens(
                token
                for token in self.retained.get(message.stream, ())
                if token.position >= message.position
                and token.generation == message.generation
            )
        elif frame.stream_close is not None:
            self.log.append(("close", frame.stream_close.generation))
            self.streams.pop(frame.stream_close.stream, None)

    def post_tokens(self, tokens):
        batch = ttypes.TokenBatch(list(tokens))
        self.entry.post(ttypes.Frame(token_batch=batch))

    def _open(self, message):
        self.log.append(("open", message.generation))
        self.opens.append(message)
        if self.ignores_open:
            return
        stage_id = (message.stream, message.generation, message.index)
        if self.refusal:
            refused = ttypes.StreamRefused(*stage_id, self.refusal, "scripted")
            self.entry.post(ttypes.Frame(stream_refused=refused))
            return
        self.streams[message.stream] = message
        self.entry.post(
            ttypes.Frame(stream_opened=ttypes.StreamOpened(*stage_id))
        )

    async def _run_step(self, step):
        await trio.sleep(self.step_s)
        message = self.streams.get(step.stream)
        if (
            message is None
            or message.generation != step.generation
            or self.is_stalled
        ):
            return
        if message.index:
            sequence = list(step.activations)
        else:
            before = self.sequences.get(step.stream, [])[: step.position]
            sequence = before + step.tokens
        self.sequences[step.stream] = sequence
        step_id = (step.stream, step.generation, len(sequence))
        if step_id in self.ran:
            return
        generated = len(sequence) - message.prompt_tokens
        if self.fails_at is not None and generated >= self.fails_at:
            self._report_failure(message)
            return
        self.ran.append(step_id)
        if self.held is not None and step.position == 0:
            hit = ttypes.PrefixHit(
                step.stream, step.generation, message.index, self.held
            )
            self.entry.post(ttypes.Frame(prefix_hit=hit))
        if message.index + 1 < len(message.chain):
            await self._forward(message, message.index + 1, step.position)
        else:
            await self._emit(message, generated)

    def _report_failure(self, message):
        failed = ttypes.StreamFailed(
            message.stream, message.generation, message.index, "engine-lost"
        )
        if self.unreachable is not None:
            failed.index, failed.reason = self.unreachable, "unreachable"
        self.entry.post(ttypes.Frame(stream_failed=failed))

    async def _emit(self, message, generated):
        sequence = self.sequences[message.stream]
        position = len(sequence)
        token = make_token(message.seed, sequence)
        finish = "length" if generated + 1 >= message.max_tokens else ""
        item = ttypes.Token(
            message.stream, message.generation, position, token, finish
        )
        self.retained.setdefault(message.stream, []).append(item)
        if not self.drops_tokens:
            self.post_tokens([item])
        if not finish:
            await self._forward(message, 0, position, [token])

    async def _forward(self, message, index, position, tokens=()):
        sequence = self.sequences[message.stream]
        step = ttypes.Step(
            message.stream,
            message.generation,
            position,
            len(sequence) - position,
            list(tokens),
            b"" if tokens else bytes(sequence),
        )
        frame = ttypes.Frame(step_batch=ttypes.StepBatch([step]))
        text = message.chain[index].address
        if text == str(self.address):
            self.handle_frame(None, frame)
            return
        try:
            address = addresses.Address.from_text(text)
            (await self.peers.connect(address)).post(frame)
        except peers.UnreachableError:
            failed = ttypes.StreamFailed(
                message.stream, message.generation, index, "unreachable"
            )
            self.entry.post(ttypes.Frame(stream_failed=failed))
