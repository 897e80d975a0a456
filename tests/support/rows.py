"""Rows in the encoding of the platform's store."""

import json

from peridotyard_core import fleet


def make_engine(layers: int, memory_mb: float) -> dict:
    """Returns the JSON value of an engine with one accelerator type, "wide".

    Args:
        layers: Number of layers of the model.
        memory_mb: Memory of the accelerator in MB.
    """
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
    """Returns the value of a server's row."""
    value = {
        "service": server.service,
        "address": str(server.address),
        "zone": server.zone,
        "version": "v1",
        "slots": server.slots,
        "state": "ready" if server.ready else "draining",
        "kind": server.accelerator_type,
        "sequence": server.heartbeats,
        "born": server.started_at_ms,
    }
    if server.layer_range is not None:
        layer_range = server.layer_range
        value["layers"] = {"from": layer_range.first, "target": layer_range.end}
    return json.dumps(value).encode()
