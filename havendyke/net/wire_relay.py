"""The relay's JSON-RPC messages: decodes notifications and call results, encodes orders."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any, NamedTuple

import orjson

from .. import interface as core
from ..config import Config
from ..fields import NUMBER_TYPES, FieldError, read_field, read_flag, read_number
from .relay_orders import (
    AcknowledgementOrder,
    AdmissionOrder,
    ClearOrder,
    EjectionOrder,
    RelayOrder,
    WeightOrder,
)

NONCE_LIMIT = 65_536  # nonces wrap around to 0 at this value
DEFAULT_PROXY_LIMIT = 65_536  # proxy ids, where the settings state no number of proxies
DEFAULT_REQUEST_RATE = 1.0  # requests a second
# Codes in the message of a relay's error: the call cannot be parsed, or the relay is busy.
UNREADABLE = "SYNTAX"
BUSY = "BUSY"
MAX_QUOTED_MESSAGE_CHARS = 100
MAX_QUOTED_WORD_CHARS = 40
RETRY_POLICIES = {
    core.RetryPolicy.NEVER: 0,
    core.RetryPolicy.IF_NOT_STARTED: 1,
    core.RetryPolicy.ONCE_AFTER_ANY_FAILURE: 2,
}


class Method(StrEnum):
    """The calls that the relay offers."""

    WATCH = "relay.watch"
    APPLY = "relay.apply"


class NotificationType(StrEnum):
    """The notifications of a watch."""

    PING = "ping"
    PROXY_CONNECTED = "SUBSCRIBE"
    PROXY_DISCONNECTED = "CLOSED"
    ACKNOWLEDGEMENT = "ACK"
    SLICE_ASSIGNMENT = "GRANT"
    TABLE_ENTRY = "ROW"


NOTIFICATION_TYPES = {str(kind): kind for kind in NotificationType}
SLICE_NOTIFICATIONS = (NotificationType.SLICE_ASSIGNMENT, NotificationType.TABLE_ENTRY)


class Notification(NamedTuple):
    """A notification about a proxy or slice; its other parameters are not decoded yet."""

    subject_id: int | None  # None: outside the range that the settings allow
    params: dict[str, Any]


class Subscription(NamedTuple):
    """What a proxy states when it connects."""

    zone: int
    request_rate: float
    first_connection: bool


class Acknowledgement(NamedTuple):
    """A proxy's answer to a push."""

    nonce: int
    latency_ms: float


class TableEntry(NamedTuple):
    """An entry of a slice's table."""

    server_id: str
    weight: float


class CallApplied(NamedTuple):
    """The relay carried out the first `order_count` orders of a call, and no more."""

    order_count: int


class CallRejected(NamedTuple):
    """The relay carried out no order of a call."""

    message: str
    unreadable: bool  # the call cannot be parsed; otherwise the relay was busy


def encode_call(request_id: int, method: Method, orders: Sequence[RelayOrder] = ()) -> bytes:
    """A call as a JSON line."""
    message: dict[str, Any] = {"jsonrpc": "2.0", "id": request_id, "method": method.value}
    if orders:
        message["params"] = {"orders": [encode_order(order) for order in orders]}
    return orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE)


def encoded_size(order: RelayOrder) -> int:
    """The size of an order in a call in bytes, with the comma after it."""
    return len(orjson.dumps(encode_order(order))) + 1


def encode_order(order: RelayOrder) -> dict[str, Any]:
    """An order as the relay's protocol has it."""
    match order:
        case WeightOrder():
            return {
                "op": "SET",
                "table": order.slice_id,
                "host": order.server_id,
                "share": order.weight,
            }
        case ClearOrder():
            return {"op": "DEL", "table": order.slice_id}
        case EjectionOrder():
            return {"op": "OUT" if order.ejected else "IN", "host": order.server_id}
        case AdmissionOrder():
            return {
                "op": "LIMIT",
                "routes": list(order.request_classes),
                "admit": order.limit,
                "policy": RETRY_POLICIES[order.retry_policy],
            }
        case AcknowledgementOrder():
            return {"op": "SYNC", "nonce_out": order.nonce, "yes": int(order.all_proxies)}


def is_reply_to(message: dict[str, Any], request_id: int) -> bool:
    """Whether a message is the reply to the call with this id."""
    return message.get("id") == request_id


def decode_call_reply(message: dict[str, Any], order_count: int) -> CallApplied | CallRejected:
    """The result of a call with `order_count` orders.

    Raises `FieldError` for anything that is neither a valid result nor a known error: the outcome
    of the call is then unknown. A null field counts as missing, as in older versions of JSON-RPC.
    """
    failed = message.get("error") is not None
    if failed and message.get("result") is not None:
        raise FieldError("the reply has both an error and a result")
    if not failed:
        taken: int = read_field(read_field(message, "result", dict), "taken", int)
        if not 0 <= taken <= order_count:
            raise FieldError(f"field 'taken' is {taken} of {order_count}")
        return CallApplied(taken)
    text: str = read_field(read_field(message, "error", dict), "message", str)
    if BUSY not in text and UNREADABLE not in text:
        raise FieldError(f"field 'message' is unknown: {text[:MAX_QUOTED_WORD_CHARS]}")
    return CallRejected(text, UNREADABLE in text)


class RelayCodec:
    """Decodes notifications and converts the controller's orders, within the settings' id ranges.

    Every decoder raises `FieldError` for an invalid field.
    """

    def __init__(self, config: Config) -> None:
        """Reads names and the numbers of slices and proxies from the configuration."""
        self._limits = config.limits
        self._request_classes = config.wire_names.request_classes
        self._zones = {name: k for k, name in enumerate(config.wire_names.zones)}
        self._proxy_limit: int = config.wire_names.proxy_count or DEFAULT_PROXY_LIMIT
        self._slice_limit = config.settings.slice_count

    @staticmethod
    def notification_type(message: dict[str, Any]) -> NotificationType | None:
        """The type of a notification, or None for the reply that accepts the watch."""
        method = message.get("method")
        if method is None:
            if message.get("result") is not True:
                raise FieldError(f"field 'result': {str(message)[:MAX_QUOTED_MESSAGE_CHARS]}")
            return None
        if not isinstance(method, str) or method not in NOTIFICATION_TYPES:
            raise FieldError(f"field 'method' is unknown: {str(method)[:MAX_QUOTED_WORD_CHARS]}")
        return NOTIFICATION_TYPES[method]

    def notification(self, kind: NotificationType, message: dict[str, Any]) -> Notification:
        """Decodes the subject of a notification of any type but a ping."""
        params: dict[str, Any] = read_field(message, "params", dict)
        about_slice = kind in SLICE_NOTIFICATIONS
        subject_id: int = read_field(params, "partition" if about_slice else "sidecar", int)
        limit = self._slice_limit if about_slice else self._proxy_limit
        return Notification(subject_id if 0 <= subject_id < limit else None, params)

    def subscription(self, params: dict[str, Any]) -> Subscription:
        """What a proxy states when it connects; an unknown zone is treated as the first."""
        zone_name: str = read_field(params, "az", str)
        request_rate = self._read_share(params, DEFAULT_REQUEST_RATE)
        return Subscription(
            self._zones.get(zone_name, 0), request_rate, read_flag(params, "standing", False)
        )

    def acknowledgement(self, params: dict[str, Any]) -> Acknowledgement:
        """A proxy's answer to a push."""
        nonce: int = read_field(params, "version", int)
        latency_ms: float = read_field(params, "lag_ms", NUMBER_TYPES, 0.0)
        if not 0 <= nonce < NONCE_LIMIT or not 0 <= latency_ms < self._limits.max_reported_value:
            quoted = str(params)[:MAX_QUOTED_MESSAGE_CHARS]
            raise FieldError(f"field 'version' or 'lag_ms' is out of range: {quoted}")
        return Acknowledgement(nonce, latency_ms)

    @staticmethod
    def assigned(params: dict[str, Any]) -> bool:
        """Whether a slice is assigned; False where it is no longer."""
        return read_flag(params, "yes")

    def table_entry(self, params: dict[str, Any]) -> TableEntry:
        """An entry of a slice's table."""
        server_id: str = read_field(params, "host", str)
        return TableEntry(server_id, self._read_share(params))

    def _read_share(self, params: dict[str, Any], default: Any = ...) -> float:
        share: float = read_number(params, "share", default, 0.0, self._limits.max_reported_value)
        return share

    def relay_order(self, order: core.Order) -> RelayOrder | None:
        """The controller's order with ids for objects, or None where it is not for the relay."""
        match order:
            case core.SetEndpointWeight():
                return WeightOrder(order.slice.id, order.server.id, order.weight)
            case core.ClearTable():
                return ClearOrder(order.slice.id)
            case core.SetEjection():
                return EjectionOrder(order.server.id, order.ejected)
            case core.SetAdmission():
                names = tuple(
                    name
                    for k, name in enumerate(self._request_classes)
                    if k in order.request_classes
                )
                return AdmissionOrder(names, order.limit, order.retry_policy)
            case core.RequestAcknowledgement():
                return AcknowledgementOrder(order.nonce, order.all_proxies)
        return None
