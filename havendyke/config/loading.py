"""Reads the configuration file and checks it against the environment variables."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeAlias

import orjson

from .. import interface as core
from ..fields import FieldError, excerpt, read_field
from .deployment import WireNames, read_settings, read_wire_names
from .limits import Limits, read_limits

VARIABLE_PREFIX = "ROUTER_"
PATH_VARIABLE = f"{VARIABLE_PREFIX}CONFIG"
# Keys that environment variables may repeat; a value that differs from the file's is an error.
REPEATED_KEYS = ("name", "listen", "discovery")
PORTS = range(1, 65_536)
MAX_VALUE_LENGTH = 60  # characters of a value quoted in an error

Environment: TypeAlias = Mapping[str, str]
Address: TypeAlias = tuple[str, int]  # host, port


class ConfigError(ValueError):
    """The configuration is invalid; the text names the key and what was expected."""


@dataclass(frozen=True)
class Config:
    """The configuration of one assigner."""

    name: str
    listen: Address
    discovery: Address
    relay: Address
    seed: int  # of the pseudo-random choices; equal seeds give equal choices
    known: dict[str, Any]  # initial endpoint list in discovery's format; may be empty
    settings: core.Settings
    wire_names: WireNames
    limits: Limits = field(default_factory=Limits)


def load_config(environ: Environment, path: str | None = None, reloading: bool = False) -> Config:
    """Reads the configuration file, by default the one that `ROUTER_CONFIG` names.

    Raises `ConfigError`. On a reload the file is not compared with the environment variables: they
    are those of the start, and the file may have changed since.
    """
    path = path or environ.get(PATH_VARIABLE)
    if not path:
        raise ConfigError(f"{PATH_VARIABLE} is not set: it must name the configuration's file")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as error:
        raise ConfigError(f"{PATH_VARIABLE}: {path}: {error.strerror}") from None
    return parse_config(data, f"{PATH_VARIABLE}: {path}", {} if reloading else environ)


def parse_config(data: bytes, source: str, environ: Environment) -> Config:
    """Parses the bytes of a file; `source` names it in errors. Raises `ConfigError`."""
    try:
        raw = orjson.loads(data)
    except ValueError as error:
        raise ConfigError(f"{source}: not JSON: {error}") from None
    try:
        return read_config(raw, environ)
    except FieldError as error:
        raise ConfigError(str(error)) from None


def read_config(raw: object, environ: Environment) -> Config:
    """Reads the JSON value of a file; raises `ConfigError` or `FieldError`."""
    if not isinstance(raw, dict):
        raise ConfigError(f"the configuration must be an object, not {excerpt(raw)}")
    _compare_with_variables(raw, environ)
    seed = _read_seed(raw)
    raw_settings = read_field(raw, "settings", dict)
    settings = read_settings(raw_settings)
    if not settings.request_classes:
        raise ConfigError("'settings.requestClasses' must name one class at least")
    return Config(
        name=read_field(raw, "name", str),
        listen=parse_address(read_field(raw, "listen", str), "listen"),
        discovery=parse_address(read_field(raw, "discovery", str), "discovery"),
        relay=parse_address(
            read_field(read_field(raw, "distributor", dict), "address", str), "distributor.address"
        ),
        seed=seed,
        known=read_field(raw, "known", dict, {}),
        settings=settings,
        wire_names=read_wire_names(raw_settings),
        limits=read_limits(read_field(raw, "limits", dict, {}), raw_settings),
    )


def parse_address(text: str, key: str) -> Address:
    """Parses `host:port`; raises `ConfigError`, which names the key."""
    host, _, port = text.rpartition(":")
    if not host or not re.fullmatch("[0-9]{1,5}", port) or int(port) not in PORTS:
        raise ConfigError(f"'{key}' must be host:port, not {text[:MAX_VALUE_LENGTH]!r}")
    return host.strip("[]"), int(port)


def _compare_with_variables(raw: Mapping[str, Any], environ: Environment) -> None:
    for key in REPEATED_KEYS:
        variable = f"{VARIABLE_PREFIX}{key.upper()}"
        expected = environ.get(variable)
        if expected is not None and expected != read_field(raw, key, str):
            raise ConfigError(
                f"'{key}' is {raw[key][:MAX_VALUE_LENGTH]!r}, "
                f"but {variable} is {expected[:MAX_VALUE_LENGTH]!r}"
            )


def _read_seed(raw: Mapping[str, Any]) -> int:
    seed = read_field(raw, "seed", str)
    if not re.fullmatch("[0-9a-fA-F]{1,32}", seed):
        raise ConfigError(f"'seed' must be hexadecimal, not {seed[:MAX_VALUE_LENGTH]!r}")
    return int(seed, 16)
