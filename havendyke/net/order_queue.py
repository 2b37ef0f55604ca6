"""A queue of orders that wait for a call to the relay; a newer order replaces older ones."""

from collections.abc import Callable, Iterable

from .relay_orders import (
    ACKNOWLEDGEMENT_KEY,
    AcknowledgementOrder,
    OrderKey,
    OrderKind,
    OrdersByKey,
    RelayOrder,
    changed_slices,
    keys_for_slice,
)

# Kinds of orders that may also replace orders with other keys.
SUPERSEDING_KINDS = (OrderKind.CLEAR, OrderKind.ADMISSION)


class OrderQueue:
    """Orders by key, in the order in which they are sent."""

    def __init__(self) -> None:
        """The queue is empty initially."""
        self._orders: OrdersByKey = {}

    def __len__(self) -> int:
        """The number of queued orders."""
        return len(self._orders)

    @property
    def orders(self) -> list[RelayOrder]:
        """The orders, oldest first."""
        return list(self._orders.values())

    @property
    def slices(self) -> set[int]:
        """The slices whose tables the orders change."""
        return changed_slices(self._orders)

    @property
    def acknowledgement(self) -> AcknowledgementOrder | None:
        """The queued request for acknowledgements, if there is one."""
        order = self._orders.get(ACKNOWLEDGEMENT_KEY)
        return order if isinstance(order, AcknowledgementOrder) else None

    def put(self, order: RelayOrder) -> None:
        """Appends an order and removes those that it replaces."""
        key = order.key
        if key.kind in SUPERSEDING_KINDS:
            for other in [other for other in self._orders if _is_superseded(other, key)]:
                del self._orders[other]
        old = self._orders.pop(key, None)
        if isinstance(order, AcknowledgementOrder) and isinstance(old, AcknowledgementOrder):
            all_proxies = old.all_proxies or order.all_proxies
            order = AcknowledgementOrder(order.nonce, all_proxies)
        self._orders[key] = order

    def put_back(self, orders: Iterable[RelayOrder]) -> None:
        """Puts orders from `take_batch` back in front of those that were added since."""
        newer, self._orders = self._orders, {order.key: order for order in orders}
        for order in newer.values():
            self.put(order)

    def replace(self, order: RelayOrder) -> None:
        """Replaces the order with the same key, in its position."""
        self._orders[order.key] = order

    def changes_slice(self, slice_id: int) -> bool:
        """Whether an order changes this slice's table."""
        return bool(keys_for_slice(self._orders, slice_id))

    def discard_slice(self, slice_id: int) -> None:
        """Drops the orders that change this slice's table."""
        for key in keys_for_slice(self._orders, slice_id):
            del self._orders[key]

    def take_batch(
        self, max_bytes: int, max_orders: int | None, size_of: Callable[[RelayOrder], int]
    ) -> OrdersByKey:
        """Removes and returns the oldest orders that fit into a call, at least one.

        `max_orders`: None for no limit other than `max_bytes`.
        """
        batch: OrdersByKey = {}
        size = 0
        for key, order in list(self._orders.items()):
            size += size_of(order)
            if batch and (size > max_bytes or len(batch) == max_orders):
                break
            batch[key] = self._orders.pop(key)
        return batch


def _is_superseded(older: OrderKey, newer: OrderKey) -> bool:
    """Whether the newer order overrides everything that the older one sets."""
    if newer.kind is OrderKind.CLEAR:
        return older.kind is OrderKind.WEIGHT and older.slice_id == newer.slice_id
    return older.kind is OrderKind.ADMISSION and set(older.request_classes) <= set(
        newer.request_classes
    )
