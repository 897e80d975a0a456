"""Fleets with several accelerator types for tests."""

import dataclasses

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import layouts

FAST = fleet.AcceleratorType("fast", 36000, 3.0, 3.0)
WIDE = fleet.AcceleratorType("wide", 22000, 16.0, 8.0)
SMALL = fleet.AcceleratorType("small", 14000, 15.0, 15.0)


def make_engine(layers: int = 80, **changes) -> fleet.Engine:
    """Returns an engine whose model is too large for one accelerator."""
    engine = fleet.Engine(
        layers=layers,
        layer_mb=1750.0,
        kv_token_mb=0.9,
        activation_mb=0.045,
        step_ms=0.85,
        stream_ms=0.006,
        prefill_tokens_per_ms=252.0,
        zone_link_mbps=7900.0,
        load_s=14.0,
        parallel_loads=6,
        prompt_tokens=770,
        response_tokens=154,
        slots=96,
        stall_s=2.5,
        accelerator_types=(FAST, WIDE, SMALL),
    )
    return dataclasses.replace(engine, **changes)


def make_server(name: str, zone: str = "a", **changes) -> fleet.Server:
    """Returns a ready model server without layers."""
    number = sum(name.encode()) % 200 + 1
    server = fleet.Server(
        instance=name,
        service="model",
        address=addresses.Address(f"10.0.{len(zone)}.{number}", 8080),
        zone=zone,
        ready=True,
        slots=96,
        accelerator_type="wide",
    )
    return dataclasses.replace(server, **changes)


def make_zone(zone: str, fast: int, wide: int, small: int) -> list:
    """Returns the servers of a zone from the count of each accelerator type."""
    counts = (("fast", fast), ("wide", wide), ("small", small))
    return [
        make_server(
            f"{zone}-{accelerator_type}-{number}",
            zone,
            accelerator_type=accelerator_type,
        )
        for accelerator_type, count in counts
        for number in range(count)
    ]


def assign_layers(servers: list, engine: fleet.Engine) -> list:
    """Returns the servers with the layer ranges of a planned layout."""
    layer_ranges = {}
    for group in layouts.group_zones(servers, engine):
        layer_ranges |= layouts.plan_group(group, engine)
    return [
        dataclasses.replace(
            server, layer_range=layer_ranges.get(server.instance)
        )
        for server in servers
    ]
