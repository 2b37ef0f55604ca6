"""Drives any version's controller by present names, for benchmarks that import earlier versions.

The tables map present names to those of versions before a general renaming, as far as benchmarks
use them. The fields of a message have the same order in all versions and are given by position."""

import importlib
import importlib.util
from collections.abc import Callable, Iterable
from typing import Any

from havendyke import interface

# The first of these modules that a version has defines its `Controller`.
CONTROLLER_MODULES = ("policy", "rules")
FORMER_TYPES = {
    "EndpointEntry": "Entry",
    "EndpointListUpdate": "Members",
    "HealthCheckResult": "Probed",
    "ProxyConnected": "Joined",
    "PushAcknowledged": "Answered",
    "RequestAcknowledgement": "Mark",
    "RequestClass": "OperationClass",
    "SendHealthCheck": "Probe",
    "ServerLoadReport": "ServerReport",
    "Settings": "Settings",
    "SliceAssignment": "Custody",
    "SnapshotEntry": "Stored",
    "TimerFired": "Reminder",
}
FORMER_SETTINGS = {
    "request_classes": "classes",
    "zone_count": "zones",
    "slice_count": "slices",
    "health_checks": "probes",
    "channel_queue_limit": "queue_limit",
    "channel_rate_per_s": "channel_rate",
    "message_overhead": "overhead",
    "warm_up_ms": "cold",
    "initial_capacity_share": "cold_from",
    "warm_up_overload_factor": "overload",
    "report_interval_ms": "report_period",
    "controller_count": "instances",
    "connection_capacity": "connections",
    "connection_idle_ms": "connection_rest",
}
FORMER_VALUES: dict[object, str] = {
    interface.ListScope.COMPLETE: "whole",
    interface.ListScope.CHANGES: "changes",
    interface.ServerState.READY: "ready",
    interface.ServerState.DRAINING: "draining",
    interface.HealthCheckOutcome.PASSED: "answered",
    interface.Idempotency.IDEMPOTENT: "safe",
}
FORMER_METHODS = {
    "reconcile": "turn",
    "add_server": "server",
    "add_slice": "slice",
    "add_proxy": "proxy",
}
FORMER_FIELDS = {"nonce": "number"}


class Version:
    """The interface and the controllers of the version in a package."""

    def __init__(self, package: str) -> None:
        names = (f"{package}.{name}" for name in CONTROLLER_MODULES)
        module = next(name for name in names if importlib.util.find_spec(name))
        self._controller_type = importlib.import_module(module).Controller
        own = importlib.import_module(f"{package}.interface")
        self._former = not hasattr(own, "EndpointListUpdate")
        self.types: dict[str, Any] = {
            present: getattr(own, former if self._former else present)
            for present, former in FORMER_TYPES.items()
        }

    def make(self, name: str, *values: Any) -> Any:
        """Creates a value of the interface from its type's present name."""
        return self.types[name](*(self._version_value(value) for value in values))

    def settings(self, **values: Any) -> Any:
        """Creates settings, without those that the version does not have."""
        known = self.types["Settings"].__dataclass_fields__
        named = {
            FORMER_SETTINGS[name] if self._former else name: value for name, value in values.items()
        }
        return self.types["Settings"](**{key: v for key, v in named.items() if key in known})

    def controller(self, settings: Any, seed: int) -> "VersionController":
        """Creates a controller of the version."""
        return VersionController(self._controller_type(settings, seed))

    def _version_value(self, value: Any) -> Any:
        return FORMER_VALUES[value] if self._former and _has_former_value(value) else value


def _has_former_value(value: object) -> bool:
    return isinstance(value, str) and value in FORMER_VALUES


class VersionController:
    """A controller of any version, with its own methods under their present names."""

    def __init__(self, controller: Any) -> None:
        self._controller = controller
        self.reconcile: Callable[[float, Iterable[Any]], list[Any]] = self._method("reconcile")
        self.add_server: Callable[[str], Any] = self._method("add_server")
        self.add_slice: Callable[[int], Any] = self._method("add_slice")
        self.add_proxy: Callable[[int], Any] = self._method("add_proxy")

    def _method(self, name: str) -> Any:
        own = name if hasattr(self._controller, name) else FORMER_METHODS[name]
        return getattr(self._controller, own)


def field(message: Any, name: str) -> Any:
    """The value of an order's field, by the field's present name."""
    return getattr(message, name if hasattr(message, name) else FORMER_FIELDS[name])
