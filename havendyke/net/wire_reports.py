"""Decodes the messages of collectors and servers to load reports."""

from collections.abc import Sequence

from .. import interface as core
from ..config import Config
from ..fields import FieldError, read_choice, read_field
from ..registry import ObjectRegistry
from .wire_fields import (
    Part,
    TextFields,
    decode_text,
    parse_count,
    parse_fields,
    parse_number,
)

SERVER_REPORT = b"LOAD"
SLICE_REPORT = b"SHARD"
MAX_QUOTED_KIND_CHARS = 40
MAX_LOAD_CHARS = 4096
# Metrics of a server: names on the wire and fields of `ServerLoad`.
LOAD_FIELDS = {
    "util": "cpu_share",
    "qps": "completed_per_s",
    "inflight": "in_flight",
    "queue": "queued",
    "latency_ms": "service_time_ms",
    "eps": "errors_per_s",
}


def parse_server_load(text: str, maximum: float) -> core.ServerLoad:
    """Parses a server's own load from a collector's report or the response to a health check.

    Collectors write `inflight:7,util:0.61`, servers `TEXT inflight=7, queue=2`. Unknown names are
    ignored. Raises `FieldError` for a value that is not from 0 to `maximum`, and for a text that is
    too long.
    """
    if len(text) > MAX_LOAD_CHARS:
        raise FieldError(f"a server's load is longer than {MAX_LOAD_CHARS} characters")
    text = text.strip().removeprefix("TEXT ")
    load = {}
    for pair in text.split(","):
        name, _, value = pair.replace("=", ":").strip().partition(":")
        if name in LOAD_FIELDS:
            load[LOAD_FIELDS[name]] = parse_number(value.strip(), name, maximum)
    return core.ServerLoad(**load)


class ReportDecoder:
    """Decodes the messages of collectors; raises `FieldError` if any field is invalid."""

    def __init__(self, config: Config, registry: ObjectRegistry) -> None:
        """Uses the zones and request classes of the configuration."""
        self._registry = registry
        self._limits = config.limits
        self._max_slice_id = max(config.settings.slice_count - 1, 0)
        self._zones = {name: k for k, name in enumerate(config.wire_names.zones)}
        self._request_classes = {
            name: k for k, name in enumerate(config.wire_names.request_classes)
        }

    def zone_name(self, parts: Sequence[Part | None]) -> str:
        """The zone that a collector names when it connects."""
        fields = parse_fields(parts)
        read_choice(fields, "az", self._zones)
        return fields["az"]

    def decode(
        self, parts: Sequence[Part | None]
    ) -> core.ServerLoadReport | core.SliceLoadReport | None:
        """The report in a message; None if it is about an unknown server or slice.

        An invalid field rejects the complete message, as a partial report would be misleading.
        """
        fields = parse_fields(parts)
        kind = bytes(parts[0] or b"")
        if kind == SERVER_REPORT:
            return self._server_report(fields)
        if kind == SLICE_REPORT:
            return self._slice_report(fields)
        raise FieldError(f"unknown message '{decode_text(kind)[:MAX_QUOTED_KIND_CHARS]}'")

    def _server_report(self, fields: TextFields) -> core.ServerLoadReport | None:
        maximum = self._limits.max_reported_value
        attempts = parse_count(fields, "n", self._limits.max_report_requests)
        failures = parse_count(fields, "bad", attempts)
        window_ms = self._window_ms(fields)
        zone: int = read_choice(fields, "az", self._zones)
        server = self._registry.servers.get(read_field(fields, "host", str))
        # The mean latency of successful attempts may be missing only if all attempts failed.
        default = "0" if attempts == failures else ...
        latency_ms = parse_number(read_field(fields, "avg", str, default), "avg", maximum)
        load = parse_server_load(fields.get("report", ""), maximum)
        if server is None:
            return None
        return core.ServerLoadReport(server, zone, attempts, failures, latency_ms, window_ms, load)

    def _slice_report(self, fields: TextFields) -> core.SliceLoadReport | None:
        requests = parse_count(fields, "n", self._limits.max_report_requests)
        # Failures may belong to requests of an earlier window, so there may be more of them.
        failures = parse_count(fields, "bad", self._limits.max_report_requests)
        window_ms = self._window_ms(fields)
        request_class: int = read_choice(fields, "kind", self._request_classes)
        slice_ = self._registry.slices.get(parse_count(fields, "partition", self._max_slice_id))
        if slice_ is None:
            return None
        return core.SliceLoadReport(slice_, request_class, requests, failures, window_ms)

    def _window_ms(self, fields: TextFields) -> float:
        return parse_number(
            read_field(fields, "window", str), "window", self._limits.max_reported_value
        )
