"""Maps the keys of the deployment's settings to `interface.Settings`.

Times are nanoseconds in the file and milliseconds in the result. Unknown keys are ignored, whatever
their values. Every function raises `FieldError`, which names the key.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from .. import interface as core
from ..fields import (
    FieldError,
    read_choice,
    read_field,
    read_integer,
    read_list,
    read_ms,
    read_number,
)
from ..interface.settings import UNLIMITED

IDEMPOTENCY = {
    "pure": core.Idempotency.IDEMPOTENT,
    "token": core.Idempotency.KEYED,
    "side_effect": core.Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {str(scope): scope for scope in core.DeduplicationScope}
LOAD_SHEDDING = {str(shedding): shedding for shedding in core.LoadShedding}
# Whether the endpoint list must be requested, by the value of `registryMode`.
LIST_ON_REQUEST = {"push": False, "ask": True}
# Whether the sizes in the endpoint list state capacities, by the value of `weightKind`. Live sizes
# do not and are ignored.
SIZES_STATED = {"none": False, "live": False, "nominal": True, "rough": True}

MAX_DURATION_MS = 86_400_000.0
MAX_DEDUPLICATION_WINDOW_MS = 30 * MAX_DURATION_MS
MIN_LATENCY_MS = 1e-3
MIN_REPORT_INTERVAL_MS = 1.0
DEFAULT_REPORT_INTERVAL_MS = 1000.0
MAX_TABLE_ENTRIES = 1e12  # also the limit for connections of a server and for entries per second
MIN_CHANNEL_RATE_PER_S = 1e-3  # table entries
MAX_MESSAGE_OVERHEAD = 1e6  # table entries
MAX_MESSAGES = 10**9  # to one proxy within the window
MAX_OVERLOAD_FACTOR = 1e9  # multiple of a server's capacity
MAX_SLICES = 65_534
MAX_PROXIES = 65_536
MAX_REQUEST_CLASSES = 32
MAX_CONTROLLERS = 65_536
MAX_NAME_LENGTH = 40  # characters of a name quoted in an error


@dataclass(frozen=True)
class WireNames:
    """Names that messages use; events refer to them by their index in these tuples."""

    zones: tuple[str, ...]
    machine_kinds: tuple[str, ...]
    request_classes: tuple[str, ...]
    has_load_reports: bool  # whether load reports are sent
    proxy_count: int  # 0: not stated


def read_settings(raw: Mapping[str, Any]) -> core.Settings:
    """Reads the section `settings` of the configuration."""
    family = read_field(raw, "familyInfo", dict, {})
    obligations = read_field(raw, "obligations", dict, {})
    limits = read_field(raw, "limits", dict, {})
    # Keys are read in the order in which their errors are reported.
    return core.Settings(
        request_classes=_request_classes(raw, family),
        zone_count=len(read_list(raw, "localities", str, [""])),
        **_slices(family),
        **_push_channel(family),
        report_interval_ms=read_ms(
            family,
            "interval",
            DEFAULT_REPORT_INTERVAL_MS,
            MIN_REPORT_INTERVAL_MS,
            MAX_DURATION_MS,
        ),
        **_warm_up(obligations),
        list_on_request=read_choice(raw, "registryMode", LIST_ON_REQUEST, "push"),
        list_request_timeout_ms=_duration_ms(obligations, "askWithin"),
        health_checks=read_field(limits, "probes", bool, False),
        load_shedding=read_choice(family, "throttleBy", LOAD_SHEDDING, "none"),
        sizes_stated=read_choice(raw, "weightKind", SIZES_STATED, "none"),
        **_controllers(raw),
        connection_capacity=read_number(family, "smallestConnTable", 0.0, 0.0, MAX_TABLE_ENTRIES),
        connection_idle_ms=_duration_ms(limits, "connIdle"),
    )


def read_wire_names(raw: object) -> WireNames:
    """Reads the names that messages use, in the order of the settings."""
    names = WireNames(
        zones=tuple(read_list(raw, "localities", str, [])),
        machine_kinds=tuple(read_list(raw, "kinds", str, [])),
        request_classes=tuple(
            read_field(section, "name", str, "")
            for section in read_field(raw, "requestClasses", list)
        ),
        has_load_reports=read_field(read_field(raw, "telemetry", dict, {}), "source", str, "none")
        != "none",
        proxy_count=read_integer(
            read_field(raw, "familyInfo", dict, {}), "dataPlaneSize", 0, 0, MAX_PROXIES
        ),
    )
    _require_distinct(names.zones, "localities")
    _require_distinct(names.request_classes, "requestClasses")
    _require_distinct(names.machine_kinds, "kinds")
    return names


def _request_classes(raw: object, family: object) -> list[core.RequestClass]:
    own_zone = read_list(family, "classOwnZone", bool, [])
    sections = read_list(raw, "requestClasses", dict)
    if len(sections) > MAX_REQUEST_CLASSES:
        raise FieldError(
            f"field 'requestClasses' may name {MAX_REQUEST_CLASSES} classes, not {len(sections)}"
        )
    return [
        _request_class(section, index < len(own_zone) and own_zone[index])
        for index, section in enumerate(sections)
    ]


def _request_class(section: object, own_zone_only: bool) -> core.RequestClass:
    return core.RequestClass(
        latency_objective_ms=read_ms(
            section, "promise", minimum=MIN_LATENCY_MS, maximum=MAX_DURATION_MS
        ),
        deadline_ms=read_ms(section, "hardLimit", minimum=MIN_LATENCY_MS, maximum=MAX_DURATION_MS),
        # An unknown value is an error: any default could be wrong, whether too strict or too lax.
        idempotency=read_choice(section, "repeat", IDEMPOTENCY, "side_effect"),
        deduplication_scope=read_choice(section, "group", DEDUPLICATION_SCOPES, "all"),
        deduplication_window_ms=read_ms(section, "window", 0.0, 0.0, MAX_DEDUPLICATION_WINDOW_MS),
        own_zone_only=own_zone_only,
    )


def _slices(family: object) -> dict[str, Any]:
    return {
        "slice_count": read_integer(family, "keyRanges", 0, 0, MAX_SLICES),
        "exclusive_ownership": read_field(family, "oneOwner", bool, False),
        "lease_ms": _duration_ms(family, "lease"),
        "max_write_in_flight_ms": _duration_ms(family, "lingers"),
        "max_empty_table_ms": _duration_ms(family, "emptyFor"),
    }


def _push_channel(family: object) -> dict[str, Any]:
    return {
        "channel_queue_limit": read_number(family, "pendingMax", UNLIMITED, 1.0, MAX_TABLE_ENTRIES),
        "channel_rate_per_s": read_number(
            family, "channelRate", UNLIMITED, MIN_CHANNEL_RATE_PER_S, MAX_TABLE_ENTRIES
        ),
        "message_overhead": read_number(family, "overhead", 0.0, 0.0, MAX_MESSAGE_OVERHEAD),
        "push_delay_ms": _duration_ms(family, "pushDelay"),
        "message_limit": read_integer(family, "updateCap", 0, 0, MAX_MESSAGES),
        "message_limit_window_ms": _duration_ms(family, "countedOver"),
    }


def _warm_up(obligations: object) -> dict[str, Any]:
    return {
        "warm_up_ms": _duration_ms(obligations, "cold"),
        "initial_capacity_share": read_number(obligations, "coldFrom", 1.0, 0.0, 1.0),
        "warm_up_overload_factor": read_number(
            obligations, "overloadFactor", UNLIMITED, 1.0, MAX_OVERLOAD_FACTOR
        ),
    }


def _controllers(raw: Mapping[str, Any]) -> dict[str, Any]:
    controller_index = None
    controller_count = read_integer(raw, "balancers", 1, 1, MAX_CONTROLLERS)
    if raw.get("me") is not None:
        controller_index = read_integer(raw, "me", 0, 0, MAX_CONTROLLERS)
    return {"controller_count": controller_count, "controller_index": controller_index}


def _duration_ms(section: object, key: str) -> float:
    return read_ms(section, key, 0.0, 0.0, MAX_DURATION_MS)


def _require_distinct(names: Sequence[str], key: str) -> None:
    """Rejects duplicate names: a message with one of them would be ambiguous."""
    for index, name in enumerate(names):
        if name in names[:index]:
            raise FieldError(f"field '{key}' has the name {name[:MAX_NAME_LENGTH]!r} twice")
