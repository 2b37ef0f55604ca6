"""Reads the operator's file with its includes and validates every key against the schema.

A file is either read completely or rejected.
"""

import os
from collections.abc import Callable
from dataclasses import dataclass, field

from .grammar import FileSyntaxError, IncludeLine, Line, SectionLine, SettingLine, parse_lines
from .schema import SECTIONS, Key, keys_of
from .values import InvalidValueError, Value, suggestion

MAX_INCLUDE_DEPTH = 8  # files, including the first one
MAX_FILE_BYTES = 1 << 20
MAX_VALUE_LENGTH = 60  # characters of a value or line quoted in an error


class OperatorFileError(ValueError):
    """An error in the file; one line with file, line, column, key and what was expected."""


@dataclass(frozen=True, slots=True)
class Location:
    """A position in a file; lines and columns count from 1."""

    file: str
    line: int
    column: int

    def error(self, reason: str) -> OperatorFileError:
        """Returns an error at this position."""
        return OperatorFileError(f"{self.file}:{self.line}:{self.column}: {reason}")


@dataclass(frozen=True, slots=True)
class ConfiguredValue:
    """A value as written in a file."""

    text: str
    location: Location


@dataclass
class OperatorFile:
    """The sections and values of a file and its includes, not yet converted to their types."""

    # By section and key.
    values: dict[tuple[str, str], ConfiguredValue] = field(default_factory=dict)
    # The position at which each section first begins.
    sections: dict[str, Location] = field(default_factory=dict)


def read(path: str) -> dict[str, dict[str, Value]]:
    """Reads a file; returns the values of its sections by section and key, with defaults.

    Raises `OperatorFileError`.
    """
    file = load_files(path)
    return {section: resolve(file, section) for section in file.sections}


def load_files(path: str, read_text: Callable[[str], str] | None = None) -> OperatorFile:
    """Loads a file and its includes; raises `OperatorFileError`.

    `read_text` returns the text of the file at a path; `read_file` by default.
    """
    loader = _FileLoader(read_text or read_file)
    loader.load(path)
    return loader.file


def resolve(file: OperatorFile, section: str) -> dict[str, Value]:
    """Returns the values of a section by key, with defaults; raises `OperatorFileError`."""
    return {name: _resolve_key(file, key) for name, key in keys_of(section).items()}


def read_file(path: str) -> str:
    """Returns the text of a file; raises `OperatorFileError`."""
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
    configured = file.values.get((key.section, key.name))
    if configured is None:
        if key.default is None:
            location = file.sections[key.section]
            raise location.error(f"[{key.section}] needs '{key.name}' ({key.kind})")
        return key.default
    try:
        return key.parse(configured.text)
    except InvalidValueError as error:
        text = configured.text[:MAX_VALUE_LENGTH]
        raise configured.location.error(f"'{key.name}' is {text!r}: {error}") from None


class _FileLoader:
    """Loads a file and its includes, in the order of their lines."""

    def __init__(self, read_text: Callable[[str], str]) -> None:
        self.file = OperatorFile()
        self._read_text = read_text

    def load(self, path: str, include_chain: tuple[str, ...] = ()) -> None:
        """Loads a file; `include_chain` has the paths of the files through which it is included."""
        if path in include_chain:
            raise OperatorFileError(f"{path}: includes itself")
        if len(include_chain) >= MAX_INCLUDE_DEPTH:
            raise OperatorFileError(f"{path}: included over {MAX_INCLUDE_DEPTH} deep")
        section = None
        for line in self._parse(path):
            location = Location(path, line.line, line.column)
            match line:
                case SectionLine():
                    section = line.name
                    self._add_section(section, location)
                case IncludeLine():
                    # Relative to the directory of the including file.
                    included = os.path.join(os.path.dirname(path), line.file)
                    self.load(included, (*include_chain, path))
                case SettingLine():
                    self._add_value(section, line, location)

    def _parse(self, path: str) -> list[Line]:
        try:
            return parse_lines(self._read_text(path))
        except FileSyntaxError as error:
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
        self.file.values[section, key] = ConfiguredValue(line.values[0], location)
