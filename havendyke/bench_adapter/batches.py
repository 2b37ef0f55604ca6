"""Batches of messages for several controllers, answered with the controllers' orders."""

import json
from typing import Any

from ..config import read_settings
from ..fields import FieldError, read_field, read_ms
from ..registry import ObjectRegistry
from .messages import Message, failure_message, order_message, read_event

START_KIND = "BOOT"
END_KIND = "TEARDOWN"


class BatchError(ValueError):
    """A line that is not JSON, or not an object."""


class Instance:
    """A controller that the bench runs, and its number on the wire.

    Starts by a message that carries its settings and its seed; raises `FieldError` where a field of
    them is malformed.
    """

    def __init__(self, number: int, message: Message) -> None:
        self.number = number
        self._registry = ObjectRegistry(
            read_settings(read_field(message, "settings", dict)), read_field(message, "salt", int)
        )

    def receive(self, kind: str, message: Message) -> None:
        """Keeps a message's event for the next reconciliation; raises `FieldError`."""
        event = read_event(self._registry, kind, message)
        if event is not None:
            self._registry.pending_events.append(event)

    def reconcile(self, now_ms: float) -> list[Message]:
        """Hands the events to the controller and returns the messages of its orders."""
        # The bench counts a failure only where it is declared, whatever its cause.
        try:
            orders = self._registry.reconcile(now_ms)
            return [order_message(order, self.number) for order in orders]
        except Exception as error:
            return [failure_message(self.number, error)]


class BenchAdapter:
    """Several controllers, each behind a registry of its own; nothing passes between them."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}

    def answer(self, line: bytes) -> str:
        """Answers one batch.

        Raises `BatchError` where the line is no batch and `FieldError` where a field of it is
        malformed.
        """
        batch = read_batch(line)
        now_ms, serial = read_ms(batch, "ts"), read_field(batch, "serial", int)
        outbox: list[Message] = []
        touched: dict[int, Instance] = {}
        for message in read_field(batch, "inbox", list):
            self._receive(message, touched, outbox)
        for instance in touched.values():
            outbox += instance.reconcile(now_ms)
        return json.dumps({"serial": serial, "outbox": outbox}, separators=(",", ":"))

    def _receive(
        self, message: Message, touched: dict[int, Instance], outbox: list[Message]
    ) -> None:
        """Starts, ends or notifies an instance and notes in `touched` which ones must reconcile."""
        kind, number = read_field(message, "kind", str), read_field(message, "assignerId", int)
        if kind == START_KIND:
            self._start(number, message, touched, outbox)
        elif kind == END_KIND:
            self._instances.pop(number, None)
            touched.pop(number, None)
        elif number in self._instances:
            touched[number] = self._instances[number]
            touched[number].receive(kind, message)

    def _start(
        self,
        number: int,
        message: Message,
        touched: dict[int, Instance],
        outbox: list[Message],
    ) -> None:
        try:
            self._instances[number] = touched[number] = Instance(number, message)
        except FieldError:
            raise
        # As in `reconcile`: a controller that does not start must not end the others.
        except Exception as error:
            outbox.append(failure_message(number, error))


def read_batch(line: bytes) -> dict[str, Any]:
    """The object of a line; raises `BatchError`."""
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise BatchError(f"not JSON: {error}") from None
    if not isinstance(batch, dict):
        raise BatchError("a batch must be an object")
    return batch
