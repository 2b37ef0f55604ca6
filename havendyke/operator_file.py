"""Reads the operator's file and creates the optional components that it enables.

Without the file, none of their modules is imported.
"""

import os
from typing import TYPE_CHECKING, Any

from .config import ConfigError
from .net.log import EventLog

if TYPE_CHECKING:
    from .recovery.durable_state import DurableState

OPERATOR_FILE_VARIABLE = "HAVENDYKE_OPERATOR"

OperatorSettings = dict[str, Any]
"""The sections of the file by name."""


def read_operator_file(path: str | None) -> OperatorSettings:
    """Reads and validates the file at `path` or at the path in `HAVENDYKE_OPERATOR`.

    Returns no sections if neither is set; raises `ConfigError` if the file is invalid.
    """
    path = path or os.environ.get(OPERATOR_FILE_VARIABLE)
    if not path:
        return {}
    from .settings import reader

    try:
        return reader.read(path)
    except reader.OperatorFileError as error:
        raise ConfigError(str(error)) from None


def open_durable_state(settings: OperatorSettings, log: EventLog) -> "DurableState | None":
    """Opens the durable state; returns None if the operator's file does not enable it."""
    if "state" not in settings:
        return None
    from .recovery.durable_state import DurableState, StateOptions

    return DurableState(StateOptions.from_section(settings["state"]), log)
