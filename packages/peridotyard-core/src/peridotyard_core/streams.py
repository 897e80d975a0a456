"""State of one streamed response at the entry.

The stages of a chain generate the tokens of a response. If a stage fails, the
entry starts a new generation of the response on another chain.
"""

import dataclasses

from peridotyard_core import pipelines

# Largest distance of a buffered token from the next one. Tokens after a gap are
# buffered until the entry has requested the missing ones with StreamAttach. The
# limit bounds the memory that a faulty sidecar can fill; tokens beyond it are
# discarded and requested again.
BUFFERED_LIMIT = 4096


@dataclasses.dataclass(frozen=True)
class BufferedToken:
    """A token that arrived before an earlier one.

    Attributes:
        token: Id of the token.
        finish: Finish reason if it is the last token, else empty.
    """

    token: int
    finish: str


class Stream:
    """The tokens and the generation of one response, owned by its request.

    Positions count from the first token of the prompt, so the first generated
    token has the position `prompt_count`. Only tokens of the current
    generation are accepted, and each position once.

    Attributes:
        accepted: The accepted tokens of all generations, in order.
        finish: Finish reason: empty until the last token, then "stop" or
            "length".
        generation: Current generation, 0 before the first chain.
        chain: Stages of the current generation.
    """

    def __init__(self, prompt_count: int, max_tokens: int):
        """Creates a stream without a chain.

        Args:
            prompt_count: Number of tokens of the prompt.
            max_tokens: Largest number of tokens of the response.
        """
        self.accepted: list[int] = []
        self.finish = ""
        self.generation = 0
        self.chain: pipelines.Chain = ()
        self._prompt_count = prompt_count
        self._max_tokens = max_tokens
        self._opened_stages: set[int] = set()
        self._buffered: dict[int, BufferedToken] = {}
        self._first_position = prompt_count

    @property
    def next_position(self) -> int:
        """Position of the next token."""
        return self._prompt_count + len(self.accepted)

    @property
    def is_open(self) -> bool:
        """Whether all stages have accepted the generation."""
        return bool(self.chain) and len(self._opened_stages) == len(self.chain)

    @property
    def has_token(self) -> bool:
        """Whether a token of the current generation has been accepted."""
        return self.next_position > self._first_position

    @property
    def has_gap(self) -> bool:
        """Whether a later token has arrived before the next one."""
        return bool(self._buffered)

    @property
    def missing_stages(self) -> list[int]:
        """Indices of the stages that have not accepted the generation."""
        return [
            i for i in range(len(self.chain)) if i not in self._opened_stages
        ]

    def begin_generation(self, chain: pipelines.Chain) -> int:
        """Starts the next generation on a chain and returns its number."""
        self.generation += 1
        self.chain = chain
        self._opened_stages.clear()
        # Buffered tokens of an older generation may come from other steps than
        # those of the new generation.
        self._buffered.clear()
        self._first_position = self.next_position
        return self.generation

    def record_stage_opened(self, generation: int, index: int) -> bool:
        """Records that a stage has accepted the generation.

        Args:
            generation: Generation that the stage has accepted.
            index: Index of the stage in the chain.

        Returns:
            True once for each generation, when the last stage accepts it.
        """
        if generation != self.generation or index not in self.missing_stages:
            return False
        self._opened_stages.add(index)
        return self.is_open

    def is_stage_opened(self, index: int) -> bool:
        """Returns whether a stage has accepted the generation."""
        return index in self._opened_stages

    def accept_token(
        self, generation: int, position: int, token: int, finish: str
    ) -> list[int]:
        """Accepts a token and returns the tokens that are now in order.

        Tokens of another generation, repeated tokens and tokens after the end
        are discarded. A token after a gap is buffered until the gap is filled.

        Args:
            generation: Generation of the token.
            position: Position of the token in the stream.
            token: Id of the token.
            finish: Finish reason if it is the last token, else empty.
        """
        ahead = position - self.next_position
        if (
            generation != self.generation
            or not self.is_open
            or self.finish
            or not 0 <= ahead < BUFFERED_LIMIT
        ):
            return []
        self._buffered.setdefault(position, BufferedToken(token, finish))
        ready = []
        while not self.finish and self.next_position in self._buffered:
            buffered = self._buffered.pop(self.next_position)
            ready.append(buffered.token)
            self.accepted.append(buffered.token)
            self.finish = buffered.finish
            # An engine that generates more tokens must not exceed the limit.
            if not self.finish and len(self.accepted) >= self._max_tokens:
                self.finish = "length"
        if self.finish:
            self._buffered.clear()
        return ready

    def find_failed_stage(self, generation: int, index: int) -> int | None:
        """Returns the index of the stage to replace after a reported failure.

        Args:
            generation: Generation that the report names.
            index: Index of the stage that the report names.

        Returns:
            The index, or None if the report is outdated or names no stage.
        """
        if generation != self.generation or self.finish:
            return None
        return index if 0 <= index < len(self.chain) else None
