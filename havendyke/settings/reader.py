"""Reads the operator's file: its lines, its includes, then every key against the schema.

A file is read completely or refused.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass, field

from .grammar import GrammarError, IncludeLine, Line, SectionLine, SettingLine, parse
from .schema import SECTIONS, Key, keys_of
from .values import Value, ValueTextError, suggestion

MAX_INCLUDE_DEPTH = 8  # files, the first one counted
MAX_FILE_BYTES = 1 << 20
MAX_VALUE_LENGTH = 60  # characters of a value or a line in an error


class OperatorFileError(ValueError):
    """What is wrong with the file, in one line: file, line, column, key, what was expected."""


@dataclass(frozen=True, slots=True)
class Location:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def error(self, reason: str) -> OperatorFileError:
        """The error about this position."""
        return OperatorFileError(f"{self.file}:{self.line}:{self.column}: {reason}")


@dataclass(frozen=True, slots=True)
class StatedValue:
    """A value as it stands in a file."""

    text: str
    location: Location


@dataclass
class OperatorFile:
    """What a file and those that it includes state, not yet checked against the schema's types."""

    values: dict[tuple[str, str], StatedValue] = field(default_factory=dict)  # by section and key
    sections: dict[str, Location] = field(default_factory=dict)  # where each first begins


def read(path: str) -> dict[str, dict[str, Value]]:
    """The values of all sections that a file has, by section and key, with defaults.

    Raises `OperatorFileError`.
    """
    file = load_files(path)
    return {section: resolve(file, section) for section in file.sections}


def load_files(path: str, read_text: Callable[[str], str] | None = None) -> OperatorFile:
    """What a file and its includes state; raises `OperatorFileError`.

    `read_text` takes a path, `read_file` by default.
    """
    collector = _Collector(read_text or read_file)
    collector.collect(path)
    return collector.file


def resolve(file: OperatorFile, section: str) -> dict[str, Value]:
    """The values of a section by key, with defaults; raises `OperatorFileError`."""
    return {name: _resolve_key(file, key) for name, key in keys_of(section).items()}


def read_file(path: str) -> str:
    """A file's text; raises `OperatorFileError`."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise OperatorFileError(f"{path}: {error.strerror}") from None
    if len(data) > MAX_FILE_BYTES:
        raise OperatorFileError(f"{path}: over {MAX_FILE_BYTES >> 20} MB")
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        line = data[: error.start].count(b"\n") + 1
        raise Location(path, line, 1).error("not UTF-8") from None


def _resolve_key(file: OperatorFile, key: Key) -> Value:
    stated = file.values.get((key.section, key.name))
    if stated is None:
        if key.default is None:
            location = file.sections[key.section]
            raise location.error(f"[{key.section}] needs '{key.name}' ({key.kind})")
        return key.default
    try:
        return key.read(stated.text)
    except ValueTextError as error:
        text = stated.text[:MAX_VALUE_LENGTH]
        raise stated.location.error(f"'{key.name}' is {text!r}: {error}") from None


class _Collector:
    """Gathers the lines of a file and of its includes, in order."""

    def __init__(self, read_text: Callable[[str], str]) -> None:
        self.file = OperatorFile()
        self._read_text = read_text

    def collect(self, path: str, including: tuple[str, ...] = ()) -> None:
        """Adds a file; `including` are the paths of those that lead to it."""
        if path in including:
            raise OperatorFileError(f"{path}: includes itself")
        if len(including) >= MAX_INCLUDE_DEPTH:
            raise OperatorFileError(f"{path}: included over {MAX_INCLUDE_DEPTH} deep")
        section = None
        for line in self._parse(path):
            location = Location(path, line.line, line.column)
            match line:
                case SectionLine():
                    section = line.name
                    self._add_section(section, location)
                case IncludeLine():
                    # Beside the file that names it.
                    included = os.path.join(os.path.dirname(path), line.file)
                    self.collect(included, (*including, path))
                case SettingLine():
                    self._add_value(section, line, location)

    def _parse(self, path: str) -> list[Line]:
        try:
            return parse(self._read_text(path))
        except GrammarError as error:
            reason = (
                f"cannot read {str(error)[:MAX_VALUE_LENGTH]!r}; "
                "expected [section], key value, include FILE or #"
            )
            raise Location(path, error.line, error.column).error(reason) from None

    def _add_section(self, section: str, location: Location) -> None:
        if section not in SECTIONS:
            hint = suggestion(section, SECTIONS)
            raise location.error(f"section [{section}] is unknown{hint}")
        self.file.sections.setdefault(section, location)

    def _add_value(self, section: str | None, line: SettingLine, location: Location) -> None:
        key = line.key
        if section is None:
            raise location.error(f"'{key}' stands before any [section]")
        keys = keys_of(section)
        if key not in keys:
            raise location.error(f"[{section}] has no key '{key}'{suggestion(key, keys)}")
        if len(line.values) != 1:
            raise location.error(
                f"'{key}' takes one value, not {len(line.values)}; quote one with blanks"
            )
        if (section, key) in self.file.values:
            first = self.file.values[section, key].location
            raise location.error(f"'{key}' was given before, at {first.file}:{first.line}")
        self.file.values[section, key] = StatedValue(line.values[0], location)
