"""State of one streamed response at the entry."""

import dataclasses

from peridotyard_core import pipelines

# Tokens ahead of a gap are kept until StreamAttach has filled it. A sidecar
# that sends more is asked for them again rather than trusted with the memory.
BUFFERED_LIMIT = 4096


@dataclasses.dataclass(frozen=True)
class BufferedToken:
    """What remains known of one generated token."""

    token: int
    finish: str


class Stream:
    """The tokens and the generation of one response, owned by its request.

    Positions count from the first token of the prompt, so the first generated
    token has the position `prompt_count`. Only tokens of the current
    generation are accepted, and each position once.

    Attributes:
        accepted: The generated tokens so far.
        finish: Empty until the last token, then "stop" or "length".
        generation: Current generation, 0 before the first chain.
        chain: Stages of the current generation.
    """

    def __init__(self, prompt_count: int, max_tokens: int):
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
        """Whether all stages of the generation have accepted."""
        return bool(self.chain) and len(self._opened_stages) == len(self.chain)

    @property
    def has_token(self) -> bool:
        """Whether the generation has produced an accepted token."""
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
        # Tokens of an older generation, even unread ones, may differ in the
        # steps that produced them.
        self._buffered.clear()
        self._first_position = self.next_position
        return self.generation

    def record_stage_opened(self, generation: int, index: int) -> bool:
        """Records that a stage has accepted.

        Returns:
            True once for each generation: when the last stage accepts.
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
        """Takes a token and returns those that are now in order.

        Tokens of another generation, repeated ones and those after the end are
        dropped. A token after a gap is kept until the gap is filled.
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
            # An engine that runs past the limit must not lengthen the answer.
            if not self.finish and len(self.accepted) >= self._max_tokens:
                self.finish = "length"
        if self.finish:
            self._buffered.clear()
        return ready

    def find_failed_stage(self, generation: int, index: int) -> int | None:
        """Returns the stage to replace, None if the report is outdated."""
        if generation != self.generation or self.finish:
            return None
        return index if 0 <= index < len(self.chain) else None
