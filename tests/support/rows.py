"""Rows in the encoding of the platform's store."""

import json

from peridotyard_core import fleet


def make_engine(layers: int, memory_mb: float) -> dict:
    """Returns the engine of a service with one accelerator type, "wide"."""
    return {
        "slots": 96,
        "kvTokenBytes": 918000,
        "step_ms": 0.85,
        "per_seq_ms": 0.006,
        "read_per_s": 252000,
        "layers": layers,
        "layerMb": 1750,
        "usual": {"prompt": 770, "answer": 150},
        "kinds": [{"name": "wide", "mb": memory_mb, "pace": 16, "readX": 8}],
    }


def encode_server(server: fleet.Server) -> bytes:
    """Returns the row of a server."""
    value = {
        "service": server.service,
        "address": str(server.address),
        "zone": server.zone,
        "slots": server.slots,
        "state": "ready" if server.ready else "draining",
        "kind": server.accelerator_type,
        "sequence": 0,
        "born": server.started_at_ms,
    }
    if server.layer_range is not None:
        layer_range = server.layer_range
        value["layers"] = {"from": layer_range.first, "target": layer_range.end}
    return json.dumps(value).encode()
