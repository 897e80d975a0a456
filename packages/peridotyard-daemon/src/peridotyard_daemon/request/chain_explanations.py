"""Explains which chain a completion request would get now, and why.

It uses the functions that decide about real requests and changes nothing. It is
one step of the event loop. `explanations` is the counterpart on a platform
without sidecars.
"""

import collections
import collections.abc
import dataclasses
import random as random_module
import typing

from peridotyard_core import admission
from peridotyard_core import pipelines
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import http
from peridotyard_daemon.request import chains
from peridotyard_daemon.request import completions as completions_module
from peridotyard_daemon.request import parameters
from peridotyard_daemon.request import queries

# Seed of the choices between chains of equal load, which are random for real
# requests. The entry's own random source must not be used.
SEED = 0
# Costs that differ by less than this share are equal: their difference is the
# random one of the selector.
EQUAL_SHARE = 2 * pipelines.TIE_BREAK_SHARE

Value = dict[str, typing.Any]


def _parse_priority(name: str, value: str) -> int:
    if value not in admission.PRIORITIES:
        allowed = ", ".join(admission.PRIORITIES)
        raise queries.QueryError(f"{name!r} is not one of {allowed}.")
    return admission.PRIORITIES.index(value)


PARSERS: dict[str, queries.Parser] = {
    "workspace": queries.parse_text,
    "model": queries.parse_text,
    "prompt_tokens": queries.parse_number,
    "max_tokens": queries.parse_number,
    "priority": _parse_priority,
    "rows": queries.parse_rows,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """What to explain.

    Attributes:
        workspace: Name of the workspace.
        model: Name of the model, "model" or "model:adapter".
        prompt_tokens: Length of the prompt.
        max_tokens: Limit of generated tokens, None for the highest allowed.
        priority: Priority to assume, None for that of the workspace.
        rows: Number of servers that are shown in each list.
    """

    workspace: str
    model: str
    prompt_tokens: int = 1
    max_tokens: int | None = None
    priority: int | None = None
    rows: int = queries.ROWS_DEFAULT

    @classmethod
    def from_parameters(
        cls, texts: collections.abc.Mapping[str, str]
    ) -> "Query":
        """Returns the query of the parameters of a request.

        Raises:
            queries.QueryError: A parameter is missing, unknown or invalid.
        """
        values = queries.parse(texts.items(), PARSERS)
        for name in ("workspace", "model"):
            if not values.get(name):
                raise queries.QueryError(f"{name!r} is required.")
        for name in ("prompt_tokens", "max_tokens"):
            if values.get(name) == 0:
                raise queries.QueryError(f"{name!r} is at least 1.")
        return cls(**values)

    def make_parameters(self) -> parameters.Parameters:
        """Returns the parameters of the request to explain."""
        return parameters.Parameters(
            model=self.model,
            is_chat=False,
            # Only its length matters.
            prompt=range(self.prompt_tokens),
            max_tokens=self.max_tokens,
            seed=SEED,
            stops=(),
            is_streamed=True,
            has_usage=False,
        )


class Explainer:
    """Explains decisions of an entry with sidecars."""

    def __init__(
        self,
        completions: completions_module.Completions,
        replicator,
        check: collections.abc.Callable[[], None],
    ):
        """Creates the explainer of an entry.

        Args:
            completions: The completion requests of the entry.
            replicator: Its `replication.Replicator`.
            check: Raises `http.RequestError` if the entry refuses any request.
        """
        self._completions = completions
        self._replicator = replicator
        self._check = check

    def explain(self, query: Query) -> Value:
        """Returns the explanation of a request as a JSON value."""
        try:
            explained = self._explain_request(query)
        except http.RequestError as error:
            explained = _describe_rejection(error.failure)
        return explained | {
            "configuration": {
                "revision": self._replicator.catalog.revision,
                "confirmed_age_s": self._replicator.confirmed_age_s,
            }
        }

    def _explain_request(self, query: Query) -> Value:
        self._check()
        workspace = self._replicator.catalog.find_workspace(query.workspace)
        if workspace is None:
            return _describe_rejection(
                verdicts.make_not_run_failure(
                    "unauthorized",
                    "No workspace with an API key has this name.",
                )
            )
        job = self._completions.make_job(query.make_parameters(), workspace, "")
        if query.priority is not None:
            job = dataclasses.replace(job, priority=query.priority)
        return self._explain_job(query, job, workspace)

    def _explain_job(self, query: Query, job: chains.Job, workspace) -> Value:
        queue = self._completions.find_queue(job)
        # A queue without requests is false.
        if queue is None:
            queue = admission.Queue()
        now = trio.current_time()
        ticket = self._completions.make_ticket(job, workspace, now)
        selector = pipelines.LeastLoadSelector(random_module.Random(SEED))
        context = dataclasses.replace(
            self._completions.context, selector=selector
        )
        choice = completions_module.choose_chain(context, job)
        failure = queue.check(ticket, now)
        ahead = queue.count_ahead(job.priority)
        chain: pipelines.Chain = ()
        if failure is not None:
            explained = _describe_rejection(failure)
        elif ahead or choice is None:
            late = completions_module.make_late_failure(queue, job.priority)
            explained = {
                "verdict": {"outcome": "wait", "for": "capacity"},
                "if_not_in_time": _describe_failure(late),
            }
        elif isinstance(choice, verdicts.Failure):
            explained = _describe_rejection(choice)
        else:
            explained = {"verdict": {"outcome": "send"}}
            chain = choice
        explained["request"] = {
            "workspace": job.workspace,
            "priority": admission.PRIORITIES[job.priority],
            "model": job.model,
            "version": job.version,
            "adapter": job.adapter,
            "max_tokens": job.max_tokens,
        }
        explained["queue"] = {
            "ahead": ahead,
            "expected_wait_s": round(queue.estimate_wait(job.priority), 3),
            "limit_s": round(ticket.deadline - now, 3),
        }
        return explained | _describe_servers(query, context, job, chain)


def _describe_failure(failure: verdicts.Failure) -> Value:
    described: Value = {"code": failure.code, "message": failure.message}
    if failure.retry_after_s is not None:
        # As in the header, see `http.send_failure`.
        described["retry_after_s"] = max(1, round(failure.retry_after_s))
    return described


def _describe_rejection(failure: verdicts.Failure) -> Value:
    return {"verdict": {"outcome": "reject"} | _describe_failure(failure)}


def _describe_servers(
    query: Query,
    context: chains.ResponseContext,
    job: chains.Job,
    chain: pipelines.Chain,
) -> Value:
    """Returns the chain, the candidates and the servers that are left out."""
    offers = context.table.find_stages(job.model, job.version, job.adapter)
    offers.sort(key=lambda offer: (offer.first_layer, offer.end_layer))
    costs = context.selector.estimate_costs(offers)
    chosen = {stage.offer.address for stage in chain}
    free = [offer for offer in offers if not offer.is_full]
    free.sort(key=lambda offer: offer.address not in chosen)
    excluded = _list_excluded(context, job, offers)
    return {
        "chain": [_describe_stage(stage, free, costs) for stage in chain],
        "candidates": [
            {"chosen": offer.address in chosen}
            | _describe_offer(offer, costs[offer.address])
            for offer in free[: query.rows]
        ],
        "candidates_omitted": max(0, len(free) - query.rows),
        "excluded_by_reason": dict(
            collections.Counter(row["reason"] for row in excluded)
        ),
        "excluded": excluded[: query.rows],
        "excluded_omitted": max(0, len(excluded) - query.rows),
    }


def _describe_offer(offer: pipelines.StageOffer, cost: float) -> Value:
    return {
        "instance": offer.instance,
        "zone": offer.zone,
        "layers": f"{offer.first_layer}-{offer.end_layer}",
        "cost": round(cost, 4),
        "streams": offer.load,
        "limit": offer.limit,
        "free": offer.limit - offer.load if offer.limit else None,
    }


def _describe_stage(
    stage: pipelines.ChainStage,
    free: collections.abc.Iterable[pipelines.StageOffer],
    costs: collections.abc.Mapping[str, float],
) -> Value:
    """Returns a stage with the reason for its server."""
    layer = stage.first_layer
    others = [
        offer
        for offer in free
        if offer.first_layer <= layer < offer.end_layer
        and offer.address != stage.offer.address
    ]
    own = costs[stage.offer.address]
    equal = sum(
        (offer.first_layer, offer.end_layer)
        == (stage.offer.first_layer, stage.offer.end_layer)
        and abs(costs[offer.address] - own) <= EQUAL_SHARE * own
        for offer in others
    )
    if not others:
        reason = f"the only candidate with layer {layer}"
    elif equal:
        reason = f"one of {1 + equal} of equal cost, at random"
    else:
        reason = f"on the cheapest chain; {len(others)} others hold {layer}"
    return {
        "instance": stage.offer.instance,
        "zone": stage.offer.zone,
        "computes": f"{stage.first_layer}-{stage.end_layer}",
        "streams": stage.offer.load,
        "reason": reason,
    }


def _list_excluded(
    context: chains.ResponseContext,
    job: chains.Job,
    offers: collections.abc.Iterable[pipelines.StageOffer],
) -> list[Value]:
    """Returns the servers of a model that cannot be used, with the reason."""
    usable = {offer.address: offer for offer in offers}
    excluded = []
    for row in context.table.describe():
        if row["kind"] != "model" or row["model"] != job.model:
            continue
        offer = usable.get(row["address"])
        if offer is not None:
            reason = "full" if offer.is_full else ""
        elif row["leaving"]:
            reason = "leaving"
        elif not row["usable"]:
            reason = "not ready"
        elif row["version"] != job.version:
            reason = "other version"
        else:
            reason = "adapter not loaded"
        if reason:
            excluded.append(
                {
                    "instance": row["instance"],
                    "zone": row["zone"],
                    "layers": "-".join(map(str, row["layers"])),
                    "streams": row["in_flight"],
                    "reason": reason,
                }
            )
    return excluded
