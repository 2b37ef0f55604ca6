"""Processes batches of messages for several controllers and replies with their orders."""

import json
from typing import Any

from ..config import read_settings
from ..fields import FieldError, read_field, read_ms
from ..registry import ObjectRegistry
from .messages import Message, failure_message, order_message, read_event

START_KIND = "BOOT"
END_KIND = "TEARDOWN"


class BatchError(ValueError):
    """A line that is not a JSON object."""


class ControllerInstance:
    """A controller that the bench runs, and its id on the wire.

    The start message contains its settings and seed; raises `FieldError` if a field of it is
    malformed.
    """

    def __init__(self, instance_id: int, message: Message) -> None:
        self.instance_id = instance_id
        self._registry = ObjectRegistry(
            read_settings(read_field(message, "settings", dict)), read_field(message, "salt", int)
        )

    def receive(self, kind: str, message: Message) -> None:
        """Queues a message's event for the next reconciliation; raises `FieldError`."""
        event = read_event(self._registry, kind, message)
        if event is not None:
            self._registry.pending_events.append(event)

    def reconcile(self, now_ms: float) -> list[Message]:
        """Reconciles with the queued events and returns the orders as messages."""
        # The bench counts a failure only if it is reported by a message, whatever its cause.
        try:
            orders = self._registry.reconcile(now_ms)
            return [order_message(order, self.instance_id) for order in orders]
        except Exception as error:
            return [failure_message(self.instance_id, error)]


class BenchAdapter:
    """Several controllers, each with its own registry; they share no state."""

    def __init__(self) -> None:
        self._instances: dict[int, ControllerInstance] = {}

    def answer(self, line: bytes) -> str:
        """Processes one batch and returns the reply.

        Raises `BatchError` if the line is not a batch and `FieldError` if a field of it is
        malformed.
        """
        batch = read_batch(line)
        now_ms, serial = read_ms(batch, "ts"), read_field(batch, "serial", int)
        outbox: list[Message] = []
        to_reconcile: dict[int, ControllerInstance] = {}
        for message in read_field(batch, "inbox", list):
            self._receive(message, to_reconcile, outbox)
        for instance in to_reconcile.values():
            outbox += instance.reconcile(now_ms)
        return json.dumps({"serial": serial, "outbox": outbox}, separators=(",", ":"))

    def _receive(
        self, message: Message, to_reconcile: dict[int, ControllerInstance], outbox: list[Message]
    ) -> None:
        """Starts or ends an instance, or queues its event; keeps `to_reconcile` up to date."""
        kind, instance_id = read_field(message, "kind", str), read_field(message, "assignerId", int)
        if kind == START_KIND:
            self._start(instance_id, message, to_reconcile, outbox)
        elif kind == END_KIND:
            self._instances.pop(instance_id, None)
            to_reconcile.pop(instance_id, None)
        elif instance_id in self._instances:
            to_reconcile[instance_id] = self._instances[instance_id]
            to_reconcile[instance_id].receive(kind, message)

    def _start(
        self,
        instance_id: int,
        message: Message,
        to_reconcile: dict[int, ControllerInstance],
        outbox: list[Message],
    ) -> None:
        try:
            self._instances[instance_id] = to_reconcile[instance_id] = ControllerInstance(
                instance_id, message
            )
        except FieldError:
            raise
        # Reported as in `reconcile`: a controller that fails to start must not end the others.
        except Exception as error:
            outbox.append(failure_message(instance_id, error))


def read_batch(line: bytes) -> dict[str, Any]:
    """Parses a line; raises `BatchError`."""
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise BatchError(f"not JSON: {error}") from None
    if not isinstance(batch, dict):
        raise BatchError("a batch must be an object")
    return batch
