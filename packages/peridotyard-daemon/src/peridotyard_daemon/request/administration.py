"""The HTTP API for operators: configuration, status and traces."""

import dataclasses
import hmac
import re
import secrets
import typing

from peridotyard_core import configuration as configuration_module
from peridotyard_core import errors
from peridotyard_core import histograms as histograms_module
from peridotyard_core import revisions
from peridotyard_core import verdicts
import returns.result

from peridotyard_daemon.connection import bodies
from peridotyard_daemon.connection import http
from peridotyard_daemon.connection import listeners
from peridotyard_daemon.request import chain_explanations
from peridotyard_daemon.request import queries

PREFIX = "/admin/v1/"
# Allows a change that creates every object of a deployment of the target size:
# 2,800 workspaces with their limits take about 2 MB of JSON.
BODY_LIMIT_BYTES = 8 << 20
BODY_TIMEOUT_S = 30.0
# Largest size of the bodies of all requests together.
BODY_MEMORY_BYTES = 2 * BODY_LIMIT_BYTES
# Operators and programs that watch an entry hold a few connections each.
CONNECTION_LIMITS = listeners.Limits(connections=256, write_s=30.0)
PAGE_DEFAULT = 50
PAGE_LIMIT = 1000

_CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_BOOTSTRAP = "bootstrap"


class _RefusedError(errors.PeridotyardError):
    """The request is refused; `failure` is sent to the operator."""

    def __init__(self, failure: verdicts.Failure):
        self.failure = failure
        super().__init__(failure.message)


@dataclasses.dataclass(frozen=True)
class _Call:
    """One request to the API and its authenticated operator.

    Attributes:
        request: The request.
        operator: The operator, whose token the request has.
        argument: Rest of a path that takes an argument, else empty.
        receive: ASGI function.
    """

    request: http.Request
    operator: configuration_module.Operator
    argument: str
    receive: typing.Any


class Administration:
    """The ASGI application at an entry's administration address."""

    def __init__(
        self,
        replicator,
        histograms: histograms_module.HistogramSet,
        read_status: typing.Callable[[], typing.Any],
        find_trace: typing.Callable[[str], typing.Any],
        token_hash: str = "",
        count: typing.Callable[[str], None] = lambda _: None,
        explain: typing.Callable[[typing.Any], typing.Any] | None = None,
    ):
        """Creates the application.

        Args:
            replicator: The `replication.Replicator` of the entry.
            histograms: Histograms of the entry's durations.
            read_status: Returns the JSON value of the routing table and the
                streams in flight.
            find_trace: Returns the JSON value of the trace of a request, given
                by id, or None.
            token_hash: SHA-256 of the bootstrap token in hexadecimal, empty for
                none.
            count: Increases the counter of the given name.
            explain: Returns the JSON value that explains where a request, given
                by a `chain_explanations.Query`, would be sent; None if it is
                not offered.
        """
        self._bodies = bodies.Bodies(BODY_LIMIT_BYTES, BODY_MEMORY_BYTES, count)
        self._explain = explain
        self._replicator = replicator
        self._histograms = histograms
        self._read_status = read_status
        self._find_trace = find_trace
        self._token_hash = token_hash.lower().encode()
        # Handlers by path and method; a path that ends with "/" takes one
        # argument.
        self._routes = {
            "config": {"GET": self._get_config},
            "config/changes": {
                "GET": self._get_changes,
                "POST": self._post_change,
            },
            "config/status": {"GET": self._get_config_status},
            "status": {"GET": self._get_status},
            "histograms": {"GET": self._get_histograms},
            "traces/": {"GET": self._get_trace},
        }
        if explain is not None:
            self._routes["explain"] = {"GET": self._get_explanation}

    @classmethod
    def from_config(
        cls,
        settings,
        replicator,
        histograms,
        read_status,
        find_trace,
        count: typing.Callable[[str], None] = lambda _: None,
        explain=None,
    ) -> "Administration":
        """Creates the application of a `settings.EntrySettings`."""
        return cls(
            replicator,
            histograms,
            read_status,
            find_trace,
            settings.admin_token_sha256,
            count,
            explain,
        )

    async def __call__(self, scope, receive, send) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await http.run_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        request_id = secrets.token_hex(8)
        try:
            request = http.Request.from_scope(scope)
            with self._bodies.open(request, receive) as body:
                value = await self._serve(request, body.receive)
            await http.send_json(send, 200, value, {"x-request-id": request_id})
        except (_RefusedError, http.RequestError) as error:
            await _send_failure(send, error.failure, request_id)
        except errors.ConfigurationError as error:
            rejection = configuration_module.Rejection.from_error(error)
            await _send_failure(send, rejection, request_id)
        except http.CallerGoneError:
            return

    async def _serve(self, request: http.Request, receive) -> typing.Any:
        # Authenticates first, so that paths cannot be probed without a token.
        operator = self._authenticate(request.token)
        path = request.path.removeprefix(PREFIX)
        head, slash, argument = path.partition("/")
        if path == request.path:
            methods = None
        elif path in self._routes and not path.endswith("/"):
            methods, argument = self._routes[path], ""
        else:
            methods = self._routes.get(head + slash) if argument else None
        if methods is None:
            paths = ", ".join(PREFIX + path for path in self._routes)
            raise _refuse("not-found", "Unknown path.", "path", paths)
        if request.method not in methods:
            raise _refuse(
                "method-not-allowed",
                f"Method {request.method} is not supported for this path.",
                "method",
                ", ".join(methods),
            )
        call = _Call(request, operator, argument, receive)
        return await methods[request.method](call)

    def _authenticate(self, token: str) -> configuration_module.Operator:
        token_hash = configuration_module.hash_secret(token)
        # An empty setting equals no hash, so it disables the bootstrap token.
        if hmac.compare_digest(token_hash.encode(), self._token_hash):
            return configuration_module.Operator(
                _BOOTSTRAP, token_hash, "change"
            )
        operator = self._replicator.catalog.authenticate_operator(token)
        if operator is None:
            raise _refuse(
                "unauthorized",
                "The operator token is missing or unknown.",
                "authorization",
                "Bearer TOKEN of an operator",
            )
        return operator

    async def _get_config(self, call: _Call) -> dict:
        value = self._replicator.configuration.render()
        workspace = call.operator.workspace
        if workspace:
            value["objects"] = [
                item
                for item in value["objects"]
                if _is_visible(item, workspace)
            ]
        return {**value, "confirmed_age_s": self._replicator.confirmed_age_s}

    async def _post_change(self, call: _Call) -> dict:
        if call.operator.role != "change":
            raise _refuse(
                "forbidden",
                f"Operator {call.operator.name!r} may only read.",
                "authorization",
                "operators with role change",
            )
        body = await http.read_body(
            call.receive, BODY_LIMIT_BYTES, BODY_TIMEOUT_S
        )
        change = _parse_change(http.parse_json(body), call.operator)
        match await self._replicator.submit(change):
            case returns.result.Success(revision):
                return {"revision": revision, "change_id": change.change_id}
            case returns.result.Failure(failure):
                raise _RefusedError(failure)

    async def _get_changes(self, call: _Call) -> dict:
        _require_unbound(call)
        limit = _parse_number(call, "limit", PAGE_DEFAULT, 1, PAGE_LIMIT)
        before = _parse_number(call, "before", None, 1, 1 << 53)
        match await self._replicator.read_changes(limit, before):
            case returns.result.Success(rows):
                return {"changes": rows}
            case returns.result.Failure(failure):
                raise _RefusedError(failure)

    async def _get_config_status(self, call: _Call) -> dict:
        revision = _parse_number(
            call,
            "revision",
            self._replicator.configuration.revision,
            0,
            1 << 53,
        )
        reports = self._replicator.list_reports()
        lagging = revisions.find_lagging(reports, revision)
        return {
            "revision": self._replicator.configuration.revision,
            "confirmed_age_s": self._replicator.confirmed_age_s,
            "target": revision,
            "in_effect": not lagging,
            "lagging": [dataclasses.asdict(item) for item in lagging],
            "processes": [dataclasses.asdict(item) for item in reports],
        }

    async def _get_status(self, call: _Call) -> typing.Any:
        _require_unbound(call)
        return self._read_status()

    async def _get_histograms(self, call: _Call) -> dict:
        workspace = call.operator.workspace
        return {
            "histograms": [
                {
                    **dataclasses.asdict(item.key),
                    "count": item.count,
                    "p50_ms": item.p50_ms,
                    "p95_ms": item.p95_ms,
                    "p99_ms": item.p99_ms,
                    "max_ms": item.max_ms,
                }
                for item in self._histograms.summarize()
                if not workspace or item.key.workspace == workspace
            ]
        }

    async def _get_trace(self, call: _Call) -> typing.Any:
        _require_unbound(call)
        trace = self._find_trace(call.argument)
        if trace is None:
            raise _refuse(
                "not-found",
                f"This entry has no trace of request {call.argument!r}.",
                "request id",
                "id of a recent request that this entry served",
            )
        return trace

    async def _get_explanation(self, call: _Call) -> typing.Any:
        # Servers and queues are shared by all workspaces.
        _require_unbound(call)
        try:
            query = chain_explanations.Query.from_parameters(call.request.query)
        except queries.QueryError as error:
            raise _refuse(
                "bad-request",
                str(error),
                "query",
                ", ".join(chain_explanations.PARSERS),
            ) from error
        return self._explain(query)


def _refuse(code: str, message: str, place: str, allowed: str):
    return _RefusedError(
        configuration_module.Rejection(
            code,
            verdicts.Verdict.NOT_RUN,
            message,
            place=place,
            allowed=allowed,
        )
    )


def _require_unbound(call: _Call) -> None:
    if call.operator.workspace:
        raise _refuse(
            "forbidden",
            "The response would include data of other workspaces.",
            "authorization",
            "operators that are not bound to a workspace",
        )


def _is_visible(item: dict, workspace: str) -> bool:
    """Returns whether a workspace's operator may read an object."""
    match item["kind"]:
        case "workspace":
            return item["name"] == workspace
        case "limit" | "operator":
            return item["workspace"] == workspace
        case _:
            return True


def _parse_number(
    call: _Call, name: str, default: int | None, minimum: int, maximum: int
) -> int | None:
    text = call.request.query.get(name)
    if text is None:
        return default
    # The length is checked first, since int() rejects very long strings.
    if re.fullmatch(r"[0-9]{1,19}", text) and minimum <= int(text) <= maximum:
        return int(text)
    raise _refuse(
        "bad-request",
        f"Invalid value {text!r}.",
        f"query.{name}",
        f"whole number from {minimum} to {maximum}",
    )


def _parse_change(
    body: typing.Any, operator: configuration_module.Operator
) -> configuration_module.Change:
    """Returns the change of a request body.

    Raises:
        _RefusedError: The envelope is invalid.
        errors.ConfigurationError: An object or a key is invalid.
    """
    fields = {"change_id": str, "expected": dict, "put": list, "delete": list}
    if not isinstance(body, dict):
        raise _refuse("bad-request", "Not an object.", "body", "JSON object")
    for name, value in body.items():
        if name not in fields:
            raise _refuse(
                "bad-request", "Unknown field.", name, ", ".join(fields)
            )
        if not isinstance(value, fields[name]):
            kind = {str: "text", dict: "object", list: "list"}[fields[name]]
            raise _refuse("bad-request", "Wrong type.", name, kind)
    change_id = body.get("change_id", "")
    if not _CHANGE_ID.fullmatch(change_id):
        raise _refuse(
            "bad-request",
            f"Invalid value {change_id!r}.",
            "change_id",
            "1 to 64 letters, digits, '.', '_', '-'; new for each change",
        )
    values = configuration_module.parse_objects(body.get("put", []), "put")
    for index, text in enumerate(body.get("delete", [])):
        key = configuration_module.parse_key(text, f"delete[{index}]")
        if key in values:
            raise errors.ConfigurationError(
                f"delete[{index}]", f"{text} is given twice"
            )
        values[key] = None
    if not values:
        raise _refuse(
            "bad-request", "The change is empty.", "put", "at least one object"
        )
    return configuration_module.Change(
        change_id,
        operator.name,
        _parse_expected(body.get("expected", {}), values),
        values,
        operator.workspace,
    )


def _parse_expected(expected: dict, values) -> dict:
    """Returns the expected revisions, one for each changed object.

    Without one, a change could silently overwrite that of another operator.
    """
    parsed = {}
    for text, revision in expected.items():
        place = f"expected.{text}"
        key = configuration_module.parse_key(text, place)
        if key not in values:
            raise _refuse(
                "bad-request",
                "The change has no such object.",
                place,
                "objects of put and delete",
            )
        if type(revision) is not int or revision < 0:
            raise _refuse(
                "bad-request",
                f"Invalid value {revision!r}.",
                place,
                "revision of the object, 0 if it is absent",
            )
        parsed[key] = revision
    for key in values:
        if key not in parsed:
            raise _refuse(
                "bad-request",
                "The expected revision is missing.",
                f"expected.{configuration_module.render_key(key)}",
                "revision of the object, 0 if it is absent",
            )
    return parsed


async def _send_failure(send, failure: verdicts.Failure, request_id) -> None:
    value = http.render_failure(failure, request_id)
    headers = {"x-request-id": request_id}
    if failure.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(failure.retry_after_s)))
    if isinstance(failure, configuration_module.Rejection):
        value["error"]["place"] = failure.place
        value["error"]["allowed"] = failure.allowed
        value["error"]["conflicts"] = [
            {
                "object": configuration_module.render_key(item.key),
                "expected": item.expected,
                "actual": item.actual,
                "submitted": item.submitted,
                "current": item.current,
            }
            for item in failure.conflicts
        ]
    await http.send_json(
        send, errors.CODES.get(failure.code, 500), value, headers
    )
