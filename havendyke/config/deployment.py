"""The keys of the deployment's settings, mapped to the terms of `interface.Settings`.

All times of the file are nanoseconds, and milliseconds behind this module. Keys that nothing reads
may have any value. Every function raises `FieldError`, which names the key.
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
# Whether the endpoint list must be asked for, by the word of `registryMode`.
LIST_ON_REQUEST = {"push": False, "ask": True}
# Whether the endpoint list's sizes tell capacities, by the word of `weightKind`. Live ones do not:
# they are not used.
SIZES_STATED = {"none": False, "live": False, "nominal": True, "rough": True}

MAX_DURATION_MS = 86_400_000.0
MAX_DEDUPLICATION_WINDOW_MS = 30 * MAX_DURATION_MS
MIN_LATENCY_MS = 1e-3
MIN_REPORT_INTERVAL_MS = 1.0
DEFAULT_REPORT_INTERVAL_MS = 1000.0
MAX_TABLE_ENTRIES = 1e12  # also of a server's connections, and of entries in a second
MIN_CHANNEL_RATE_PER_S = 1e-3  # table entries
MAX_MESSAGE_OVERHEAD = 1e6  # table entries
MAX_MESSAGES = 10**9  # to one proxy, within the window
MAX_OVERLOAD_FACTOR = 1e9  # multiple of a server's capacity
MAX_SLICES = 65_534
MAX_PROXIES = 65_536
MAX_REQUEST_CLASSES = 32
MAX_CONTROLLERS = 65_536
MAX_NAME_LENGTH = 40  # characters of a name in an error


@dataclass(frozen=True)
class WireNames:
    """Names in the platform's messages; an event has a name's index in these tuples instead."""

    zones: tuple[str, ...]
    machine_kinds: tuple[str, ...]
    request_classes: tuple[str, ...]
    has_load_reports: bool  # whether load reports come
    proxy_count: int  # 0: not stated


def read_settings(raw: Mapping[str, Any]) -> core.Settings:
    """The settings of the configuration's section, with defaults."""
    family = read_field(raw, "familyInfo", dict, {})
    duty = read_field(raw, "obligations", dict, {})
    limits = read_field(raw, "limits", dict, {})
    # The order of reading is the order in which errors are reported.
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
        **_warm_up(duty),
        list_on_request=read_choice(raw, "registryMode", LIST_ON_REQUEST, "push"),
        list_request_timeout_ms=_duration_ms(duty, "askWithin"),
        health_checks=read_field(limits, "probes", bool, False),
        load_shedding=read_choice(family, "throttleBy", LOAD_SHEDDING, "none"),
        sizes_stated=read_choice(raw, "weightKind", SIZES_STATED, "none"),
        **_controllers(raw),
        connection_capacity=read_number(family, "smallestConnTable", 0.0, 0.0, MAX_TABLE_ENTRIES),
        connection_idle_ms=_duration_ms(limits, "connIdle"),
    )


def read_wire_names(raw: object) -> WireNames:
    """The names that messages use, in the order of the settings."""
    names = WireNames(
        zones=tuple(read_list(raw, "localities", str, [])),
        machine_kinds=tuple(read_list(raw, "kinds", str, [])),
        request_classes=tuple(
            read_field(one, "name", str, "") for one in read_field(raw, "requestClasses", list)
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
            section, "promise", least=MIN_LATENCY_MS, most=MAX_DURATION_MS
        ),
        deadline_ms=read_ms(section, "hardLimit", least=MIN_LATENCY_MS, most=MAX_DURATION_MS),
        # An unknown word is refused, since a default would be wrong one way or the other.
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


def _warm_up(duty: object) -> dict[str, Any]:
    return {
        "warm_up_ms": _duration_ms(duty, "cold"),
        "initial_capacity_share": read_number(duty, "coldFrom", 1.0, 0.0, 1.0),
        "warm_up_overload_factor": read_number(
            duty, "overloadFactor", UNLIMITED, 1.0, MAX_OVERLOAD_FACTOR
        ),
    }


def _controllers(raw: Mapping[str, Any]) -> dict[str, Any]:
    index = None
    controller_count = read_integer(raw, "balancers", 1, 1, MAX_CONTROLLERS)
    if raw.get("me") is not None:
        index = read_integer(raw, "me", 0, 0, MAX_CONTROLLERS)
    return {"controller_count": controller_count, "controller_index": index}


def _duration_ms(section: object, key: str) -> float:
    return read_ms(section, key, 0.0, 0.0, MAX_DURATION_MS)


def _require_distinct(names: Sequence[str], key: str) -> None:
    """Refuses a name that occurs twice: a message with it could mean either."""
    for index, name in enumerate(names):
        if name in names[:index]:
            raise FieldError(f"field '{key}' has the name {name[:MAX_NAME_LENGTH]!r} twice")
