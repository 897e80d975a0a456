"""Explains where a request would be sent now, and why.

The code that decides about real requests runs in a rehearsal, see `rehearsals`,
so an explanation changes nothing. The decision is one step of the event loop.
The servers are described right after it, in further steps, since those of a
large fleet would delay requests.
"""

import collections.abc
import dataclasses
import json
import typing
import urllib.parse

from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import paths
from peridotyard_core import quarantines
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import callers
from peridotyard_daemon.connection import http
from peridotyard_daemon.request import candidates
from peridotyard_daemon.request import contexts
from peridotyard_daemon.request import forwards
from peridotyard_daemon.request import queries
from peridotyard_daemon.request import rehearsals
from peridotyard_daemon.request import relays

# Token of an operator who gives no API key: clients always send a token.
NO_KEY = "-"
# Request target at the metrics address, before the query.
TARGET = "/admin/v1/explain"
# Longest target with its query, characters.
TARGET_LIMIT = 4096
# Number of parts of a prompt in a query. Those of callers have a few.
PARTS_LIMIT = 64
# Retry-After while another explanation is in progress.
RETRY_AFTER_S = 1.0

Value = dict[str, typing.Any]
Admit = collections.abc.Callable[..., "contexts.Request | verdicts.Failure"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """What to explain.

    Attributes:
        host: Host name of the request.
        path: Its path.
        key: API key; empty if unknown.
        workspace: Name of the workspace, instead of a key.
        service: Service to explain if the route has several; empty for the one
            with the largest weight.
        parts: Parts of the prompt.
        prompt_tokens: Length of the prompt, 0 if unknown.
        response_tokens: Largest length of the response, 0 if unknown.
        priority: Priority to assume; None for that of workspace or route.
        time_limit_s: Time that the caller waits, seconds; None for the route's.
        last_event_id: Id of the event after which a stream continues; None for
            a new request.
        rows: Number of servers that are shown in each list.
    """

    host: str = ""
    path: str
    key: str = ""
    workspace: str = ""
    service: str = ""
    parts: tuple[str, ...] = ()
    prompt_tokens: int = 0
    response_tokens: int = 0
    priority: int | None = None
    time_limit_s: float | None = None
    last_event_id: int | None = None
    rows: int = queries.ROWS_DEFAULT

    @classmethod
    def from_target(cls, target: str, key: str) -> "Query":
        """Returns the query of a request target.

        Args:
            target: The request target.
            key: API key, empty if none was given.

        Raises:
            queries.QueryError: It is too long, or a parameter is unknown or
                invalid.
        """
        if len(target) > TARGET_LIMIT:
            raise queries.QueryError(
                f"The query has over {TARGET_LIMIT} characters."
            )
        text = target.partition("?")[2]
        values = queries.parse(urllib.parse.parse_qsl(text, True), _PARSERS)
        if not values.get("path", "").startswith("/"):
            raise queries.QueryError(
                "'path' is required and begins with a slash."
            )
        if "workspace" in values and key:
            raise queries.QueryError("Give a key or a workspace, not both.")
        return cls(key=key, **values)

    def make_head(self, key: str) -> exchanges.RequestHead:
        """Returns the head of the request to explain.

        Args:
            key: Its API key.
        """
        return exchanges.RequestHead(
            request_id="",
            method="POST",
            target=self.path,
            host=self.host,
            key=key,
            time_limit_s=self.time_limit_s,
            last_event_id=self.last_event_id,
            prompt_tokens=self.prompt_tokens,
            response_tokens=self.response_tokens,
            prompt_parts=self.parts,
            headers=(),
        )


def _parse_host(_name: str, value: str) -> str:
    return value.partition(":")[0].lower()


def _parse_parts(name: str, value: str) -> tuple[str, ...]:
    parts = tuple(part.strip() for part in value.split(",") if part.strip())
    if len(parts) > PARTS_LIMIT:
        raise queries.QueryError(f"{name!r} has over {PARTS_LIMIT} parts.")
    return parts


_PARSERS: dict[str, collections.abc.Callable[[str, str], typing.Any]] = {
    "host": _parse_host,
    "path": queries.parse_text,
    "workspace": queries.parse_text,
    "service": queries.parse_text,
    "parts": _parse_parts,
    "prompt_tokens": queries.parse_number,
    "response_tokens": queries.parse_number,
    "priority": queries.parse_priority,
    "time_limit_s": queries.parse_seconds,
    "last_event_id": queries.parse_number,
    "rows": queries.parse_rows,
}


class _Unstarted:
    """Stands in for the responder of a request without a caller."""

    started = False

    def check_connected(self) -> None:
        """Nobody waits for the response."""


class Explainer:
    """Explains decisions of an entry, owned by the process."""

    def __init__(self, context: contexts.Context, admit: Admit):
        """Creates the explainer of an entry.

        Args:
            context: State that the requests share.
            admit: Admits a request as the entry does, see `Gateway._admit`.
        """
        self._context = context
        self._admit = admit
        self._is_busy = False

    async def respond(
        self,
        target: str,
        headers: exchanges.Headers,
        responder: callers.Responder,
    ) -> None:
        """Responds to a request for an explanation, one at a time.

        The API key to explain is the bearer token, so that it is in no log of
        request targets.
        """
        if self._is_busy:
            failure = verdicts.make_not_run_failure(
                "overloaded", "Another explanation is sent.", RETRY_AFTER_S
            )
            await contexts.send_failure(responder, failure, "")
            return
        self._is_busy = True
        try:
            await self._send_explanation(target, headers, responder)
        finally:
            self._is_busy = False

    async def _send_explanation(self, target, headers, responder) -> None:
        try:
            query = Query.from_target(target, _read_key(headers))
        except queries.QueryError as error:
            failure = verdicts.make_not_run_failure("bad-request", str(error))
            await contexts.send_failure(responder, failure, "")
            return
        body = json.dumps(await self.explain(query)).encode()
        await responder.send_complete(
            200, [(b"content-type", http.JSON_TYPE)], body
        )

    async def explain(self, query: Query) -> Value:
        """Returns the explanation of a request as a JSON value."""
        targets: dict[str, float] = {}

        def choose(names, weights) -> list[str]:
            targets.update(zip(names, weights, strict=True))
            return [query.service or max(targets, key=targets.get)]

        admitted = self._admit(
            query.make_head(self._find_key(query)),
            b"",
            trio.current_time(),
            choose,
        )
        if query.service and targets and query.service not in targets:
            admitted = verdicts.make_not_run_failure(
                "not-found", "The route does not use this service."
            )
        if isinstance(admitted, verdicts.Failure):
            explained = _describe_rejection((admitted, admitted))
            if query.workspace and admitted.code == "unauthorized":
                explained["verdict"][
                    "message"
                ] = "No workspace with an API key has this name."
        else:
            explained = await self._explain_admitted(query, admitted, targets)
        return explained | self._describe_knowledge()

    def _find_key(self, query: Query) -> str:
        routing = self._context.view.routing
        if not query.workspace or routing is None:
            return query.key
        return routing.find_key(query.workspace) or ""

    async def _explain_admitted(
        self,
        query: Query,
        admitted: contexts.Request,
        targets: dict[str, float],
    ) -> Value:
        request = rehearsals.Request.from_request(admitted, query.priority)
        rehearsal = rehearsals.Context.from_context(self._context)
        parts = self._list_quarantined_parts(request)
        if rehearsal.is_quarantined(request):
            failures = rehearsal.make_failures(
                lambda: rehearsal.refuse_quarantined(request)
            )
            explained = _describe_rejection(failures)
            explained["quarantined_parts"] = parts
        elif request.service.engine is None:
            explained = await self._explain_plain(query, rehearsal, request)
        else:
            explained = await self._explain_stream(query, rehearsal, request)
        return (
            {"verdict": explained.pop("verdict")}
            | {"request": _describe_request(request, targets)}
            | explained
        )

    def _list_quarantined_parts(self, request: contexts.Request) -> list[Value]:
        """Returns the parts of the prompt that are in quarantine."""
        shared = dict.fromkeys(request.head.prompt_parts[:-1])
        rows = []
        for name, part in zip(shared, request.shared_parts, strict=True):
            remaining_s = self._context.parts.find_remaining_s((part,))
            if remaining_s:
                fingerprint = quarantines.format_fingerprint(part)
                rows.append(
                    {
                        "part": name,
                        "fingerprint": fingerprint,
                        "remaining_s": round(remaining_s, 3),
                    }
                )
        return rows

    async def _explain_stream(
        self,
        query: Query,
        rehearsal: rehearsals.Context,
        request: rehearsals.Request,
    ) -> Value:
        stream = relays.Stream(rehearsal, None, request, _Unstarted())
        path = await stream.find_first_path()
        failures = ()
        if path is None:
            failures = rehearsal.make_failures(
                lambda: stream.make_failure("no path")
            )
        place = rehearsal.find_queue(request.service.name).place
        explained = _describe_verdict(rehearsal, path, place, failures)
        return explained | await self._describe_stream(
            query, rehearsal, request, path
        )

    async def _describe_stream(
        self,
        query: Query,
        rehearsal: rehearsals.Context,
        request: rehearsals.Request,
        path: paths.Path | None,
    ) -> Value:
        """Returns the servers and paths among which a stream chooses."""
        view, service = self._context.view, request.service
        used = paths.list_instances(path or ())
        survey = await candidates.survey(
            self._context, service, bool(rehearsal.view.needs_room), used
        )
        await trio.lowlevel.checkpoint()
        streams = candidates.Streams(view, service)
        not_first = rehearsal.list_exhausted(service.name) - used
        explained: Value = {
            "path": streams.describe_path(path or (), survey.candidates),
            "zones": streams.describe_zones(survey.candidates, not_first),
        }
        await trio.lowlevel.checkpoint()
        missing = streams.find_missing_layers(survey.candidates)
        if missing:
            explained["layers_without_candidate"] = missing
        if rehearsal.view.link_chance is not None:
            explained["chance_of_room_on_links"] = round(
                rehearsal.view.link_chance, 3
            )
        rows = streams.describe_candidates(survey.candidates, used, query.rows)
        return explained | _describe_servers(query, rows, survey)

    async def _explain_plain(
        self,
        query: Query,
        rehearsal: rehearsals.Context,
        request: rehearsals.Request,
    ) -> Value:
        forwarder = forwards.Forwarder(rehearsal)
        server = await forwarder.reserve_server(request, frozenset())
        failures = ()
        if server is None:
            failures = rehearsal.make_failures(
                lambda: forwarder.make_failure(request, forwards.NO_SERVER, 0)
            )
        explained = _describe_verdict(rehearsal, server, None, failures)
        view, service = self._context.view, request.service
        usable = forwarder.list_candidates(service.name)
        if server is not None:
            explained["server"] = server.instance
            explained["equal_cost"] = _list_equals(view, rehearsal, usable)
        used = {server.instance} if server else set()
        if usable and view.find_exclusion(usable[0]) is not None:
            explained["note"] = "No server is sound; one is tried anyway."
            used |= {item.instance for item in usable}
        survey = await candidates.survey(self._context, service, False, used)
        chosen = {server.instance} if server else set()
        rows = candidates.describe_plain(
            view, survey.candidates, chosen, query.rows
        )
        return explained | _describe_servers(query, rows, survey)

    def _describe_knowledge(self) -> Value:
        """Returns the versions and ages of what the answer is based on."""
        view, now = self._context.view, trio.current_time()
        routing, rejected = view.routing, view.rejected_routing
        return {
            "configuration": {
                "version": routing.version if routing else None,
                "age_s": _describe_age(now - view.routing_at),
                "rejected": rejected and rejected.describe(now),
            },
            "ages": {
                "server_list_s": _describe_age(now - view.servers_at),
                "load_of_other_entries_s": _describe_age(now - view.loads_at),
                "entries": view.entry_count,
            },
        }


def _read_key(headers: exchanges.Headers) -> str:
    """Returns the bearer token of a request, empty if there is none."""
    for name, value in headers:
        if name.lower() == b"authorization":
            scheme, _, token = value.decode("latin-1").partition(" ")
            if scheme.lower() == "bearer" and token.strip() != NO_KEY:
                return token.strip()
    return ""


def _describe_age(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s, 3)


def _describe_request(
    request: rehearsals.Request, targets: dict[str, float]
) -> Value:
    total = sum(targets.values()) or 1.0
    return {
        "route": request.route.name,
        "kind": request.route.retry_policy.value,
        "workspace": request.workspace_name,
        "priority": request.priority,
        "relative_size": round(request.relative_size, 3),
        "service": request.service.name,
        "share_of_service": round(
            targets.get(request.service.name, 0.0) / total, 3
        ),
        "other_services": [n for n in targets if n != request.service.name],
        "time_limit_s": round(request.deadline - request.arrived_at, 3),
    }


def _describe_failure(
    failures: tuple[verdicts.Failure, verdicts.Failure],
) -> Value:
    """Returns a failure as a JSON value.

    Args:
        failures: The failure with the shortest and the longest `Retry-After`,
            which is drawn at random.
    """
    least, most = failures
    described: Value = {"code": least.code, "message": least.message}
    if least.retry_after_s is not None:
        described["retry_after_least_s"] = least.retry_after_s
        described["retry_after_most_s"] = most.retry_after_s
    return described


def _describe_rejection(
    failures: tuple[verdicts.Failure, verdicts.Failure],
) -> Value:
    return {"verdict": {"outcome": "reject"} | _describe_failure(failures)}


def _describe_verdict(
    rehearsal: rehearsals.Context,
    choice: paths.Path | fleet.Server | None,
    place: rehearsals.Place | None,
    failures: tuple,
) -> Value:
    """Returns verdict, place in the queue and limits as a JSON value.

    Args:
        rehearsal: State of the rehearsal.
        choice: Where the request would be sent; None if it would not be sent.
        place: Its place in the queue if it would wait there.
        failures: Failures if it is not sent, see `_describe_failure`.
    """
    explained: Value = {"verdict": {"outcome": "send"}}
    inquiries = rehearsal.reservations.inquiries
    if choice is None and place is not None and place.may_wait:
        explained["verdict"] = {"outcome": "wait", "for": "room"}
        explained["if_not_in_time"] = _describe_failure(failures)
    elif choice is None:
        explained = _describe_rejection(failures)
    elif inquiries and inquiries[-1].wait_s:
        explained["verdict"] = {"outcome": "wait", "for": "limit"}
    if place is not None:
        explained["queue"] = {
            "ahead": place.ahead,
            "expected_wait_s": round(place.expected_wait_s, 3),
            "limit_s": round(place.limit_s, 3),
        }
    if inquiries:
        explained["limits"] = [
            {"instance": item.server.instance}
            | rehearsal.statements.describe(item.server)
            | {
                "wait_s": round(item.wait_s, 3),
                "decided_by": "this entry" if item.is_denied else "coordinator",
            }
            for item in inquiries
        ]
    return explained


def _list_equals(
    view, rehearsal: rehearsals.Context, usable: list[fleet.Server]
) -> list[str]:
    """Returns the servers among which the choice is random."""
    free = [s for s in usable if not rehearsal.reservations.is_exhausted(s)]
    lowest = min(map(view.estimate_cost, free), default=None)
    equals = [s.instance for s in free if view.estimate_cost(s) == lowest]
    return sorted(equals)[: queries.ROWS_MAX]


def _describe_servers(
    query: Query,
    rows: list[Value],
    survey: candidates.Survey,
) -> Value:
    """Returns the candidates and the servers that are left out, bounded."""
    return {
        "candidates": rows,
        "candidates_omitted": len(survey.candidates) - len(rows),
        "excluded_by_reason": survey.count_reasons(),
        "excluded": survey.describe_left(query.rows),
        "excluded_omitted": max(0, len(survey.left) - query.rows),
    }
