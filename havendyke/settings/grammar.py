"""Parses the lines of the operator's file."""

from dataclasses import dataclass
from functools import cache

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput

GRAMMAR = r"""
start: (_line? _NEWLINE)* _line?
_line: section | include | setting
section: "[" NAME "]"
include: "include" _value
setting: NAME _value+
_value: WORD | QUOTED | NAME | "include"
NAME: /[a-z][a-z0-9-]*(?=[\s#\]]|$)/
WORD: /[^\s#"\[\]][^\s#"]*/
QUOTED: /"[^"\n]*"/
_NEWLINE: /\r?\n/
%ignore /[ \t]+/
%ignore /#[^\n]*/
"""
INCLUDE = "include"


@dataclass(frozen=True, slots=True)
class SectionLine:
    """`[section]`."""

    line: int
    column: int
    name: str


@dataclass(frozen=True, slots=True)
class IncludeLine:
    """`include FILE`."""

    line: int
    column: int
    file: str


@dataclass(frozen=True, slots=True)
class SettingLine:
    """`key value`; allows any number of values, so that the reader can report a wrong one."""

    line: int
    column: int
    key: str
    values: tuple[str, ...]


Line = SectionLine | IncludeLine | SettingLine


class FileSyntaxError(ValueError):
    """A line that does not match the grammar; the text of the error is the line."""

    def __init__(self, line: int, column: int, text: str) -> None:
        """`line` and `column` count from 1."""
        super().__init__(text)
        self.line = line
        self.column = column


def parse_lines(text: str) -> list[Line]:
    """Parses a file's text, skipping empty lines and comments; raises `FileSyntaxError`."""
    try:
        tree = _parser().parse(text)
    except UnexpectedInput as error:
        line, column = max(error.line, 1), max(error.column, 1)
        lines = text.split("\n")
        content = lines[line - 1].strip() if line <= len(lines) else ""
        raise FileSyntaxError(line, column, content) from None
    return [_line(node) for node in tree.children if isinstance(node, Tree)]


@cache
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr", lexer="contextual", propagate_positions=True)


def _line(node: Tree[Token]) -> Line:
    line, column = node.meta.line, node.meta.column
    values = [_unquoted(token) for token in node.children if isinstance(token, Token)]
    if node.data == "section":
        return SectionLine(line, column, values[0])
    if node.data == "include":
        # The parser drops the keyword `include`, even if it is the name of the file.
        return IncludeLine(line, column, values[0] if values else INCLUDE)
    return SettingLine(line, column, values[0], tuple(values[1:]))


def _unquoted(token: Token) -> str:
    return token[1:-1] if token.type == "QUOTED" else str(token)
