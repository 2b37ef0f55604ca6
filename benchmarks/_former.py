"""A version's controller by present names, for benchmarks that import an earlier version.

Versions before the field's terms had names of their own; the tables have those that benchmarks
use. Values stand in a message in the same sequence in all versions, and are given by position."""

import importlib
import importlib.util
from collections.abc import Callable, Iterable
from typing import Any

from havendyke import interface

# Modules that may define a version's `Controller`; the first that is there does.
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
        """A message or another value of the interface, by its present name."""
        return self.types[name](*(self._version_value(value) for value in values))

    def settings(self, **values: Any) -> Any:
        """Settings; those that the version does not have are left out."""
        known = self.types["Settings"].__dataclass_fields__
        named = {
            FORMER_SETTINGS[name] if self._former else name: value for name, value in values.items()
        }
        return self.types["Settings"](**{key: v for key, v in named.items() if key in known})

    def controller(self, settings: Any, seed: int) -> "VersionController":
        """A controller of the version."""
        return VersionController(self._controller_type(settings, seed))

    def _version_value(self, value: Any) -> Any:
        return FORMER_VALUES[value] if self._former and _has_former_value(value) else value


def _has_former_value(value: object) -> bool:
    return isinstance(value, str) and value in FORMER_VALUES


class VersionController:
    """A controller of any version; `reconcile` is the version's own method."""

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
    """A field of an order, by its present name."""
    return getattr(message, name if hasattr(message, name) else FORMER_FIELDS[name])
