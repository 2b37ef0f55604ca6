"""Orders for the relay, with ids in place of objects, and the keys by which they replace others."""

from enum import Enum, auto
from typing import NamedTuple

from .. import interface as core


class OrderKind(Enum):
    """What an order changes."""

    WEIGHT = auto()
    CLEAR = auto()
    EJECTION = auto()
    ADMISSION = auto()
    ACKNOWLEDGEMENT = auto()


class OrderKey(NamedTuple):
    """Identifies what an order sets; a newer order replaces an older one with the same key."""

    kind: OrderKind
    slice_id: int | None = None  # of orders that change a slice's published table
    server_id: str | None = None
    request_classes: tuple[str, ...] = ()


# At most one request for acknowledgements is queued at a time.
ACKNOWLEDGEMENT_KEY = OrderKey(OrderKind.ACKNOWLEDGEMENT)


class WeightOrder(NamedTuple):
    """Sets a server's weight in a slice's table."""

    slice_id: int
    server_id: str
    weight: float  # 0 removes the server from the table

    @property
    def key(self) -> OrderKey:
        """The key under which a newer order replaces this one."""
        return OrderKey(OrderKind.WEIGHT, self.slice_id, self.server_id)


class ClearOrder(NamedTuple):
    """Removes all servers from a slice's table."""

    slice_id: int

    @property
    def key(self) -> OrderKey:
        """The key under which a newer order replaces this one."""
        return OrderKey(OrderKind.CLEAR, self.slice_id)


class EjectionOrder(NamedTuple):
    """Ejects a server at all proxies, or ends its ejection."""

    server_id: str
    ejected: bool

    @property
    def key(self) -> OrderKey:
        """The key under which a newer order replaces this one."""
        return OrderKey(OrderKind.EJECTION, server_id=self.server_id)


class AdmissionOrder(NamedTuple):
    """Sets the admission limit and retry policy of some request classes at all proxies."""

    request_classes: tuple[str, ...]
    limit: float
    retry_policy: core.RetryPolicy

    @property
    def key(self) -> OrderKey:
        """The key under which a newer order replaces this one."""
        return OrderKey(OrderKind.ADMISSION, request_classes=self.request_classes)


class AcknowledgementOrder(NamedTuple):
    """Ends a push: each proxy that received a part of it acknowledges with the nonce."""

    nonce: int
    all_proxies: bool  # also those that received no part of the push

    @property
    def key(self) -> OrderKey:
        """The key under which a newer order replaces this one."""
        return ACKNOWLEDGEMENT_KEY


RelayOrder = WeightOrder | ClearOrder | EjectionOrder | AdmissionOrder | AcknowledgementOrder
OrdersByKey = dict[OrderKey, RelayOrder]


def keys_for_slice(orders: OrdersByKey, slice_id: int) -> list[OrderKey]:
    """The keys of the orders that change a slice's table."""
    return [key for key in orders if key.slice_id == slice_id]


def changed_slices(orders: OrdersByKey) -> set[int]:
    """The slices whose tables the orders change."""
    return {key.slice_id for key in orders if key.slice_id is not None}


def requested_nonce(orders: list[RelayOrder]) -> int | None:
    """The nonce of a push, or None if it requests no acknowledgements."""
    last = orders[-1]
    return last.nonce if isinstance(last, AcknowledgementOrder) else None
