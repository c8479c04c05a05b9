"""Parser of the operator language."""

from functools import cache
from importlib import resources
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError

from anviltray.language._statements import (
    Condition,
    ExplainUpstream,
    SetFloor,
    SetUpstreamState,
    ShowAttempts,
    ShowConfigVersion,
    ShowHistory,
    ShowNodes,
    ShowServices,
    ShowUpstreams,
    Statement,
)

_TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "ADDRESS": "an address like 10.0.0.1:80",
    "REQUEST": "a request identifier",
    "NUMBER": "a number",
    "QUOTED": "a quoted text",
    "OPERATOR": "one of = != < <= > >=",
    "SEMICOLON": "';'",
    "PERCENT": "'%'",
    "$END": "the end of the statement",
}


class LanguageError(ValueError):
    """A statement cannot be parsed; `column` is the 1-based position of the error."""

    def __init__(self, message: str, column: int, expected: tuple[str, ...]) -> None:
        super().__init__(message)
        self.column = column
        self.expected = expected


class _StatementBuilder(Transformer[Token, Statement]):
    def start(self, items: list[Any]) -> Statement:
        statement: Statement = items[0]
        return statement

    def condition(self, items: list[Any]) -> Condition:
        field, operator, value = items
        if value.type == "NUMBER":
            return Condition(str(field), str(operator), float(value))
        return Condition(str(field), str(operator), _unquote(value))

    def where(self, items: list[Condition]) -> tuple[Condition, ...]:
        return tuple(items)

    def reason(self, items: list[Token]) -> str:
        return _unquote(items[0])

    def show_upstreams(self, items: list[Any]) -> Statement:
        return ShowUpstreams(_optional(items[0]), items[1] or ())

    def show_nodes(self, items: list[Any]) -> Statement:
        return ShowNodes(items[0] or ())

    def show_services(self, items: list[Any]) -> Statement:
        return ShowServices(items[0] or ())

    def show_config_version(self, _items: list[Any]) -> Statement:
        return ShowConfigVersion()

    def show_attempts(self, items: list[Any]) -> Statement:
        return ShowAttempts(str(items[0]))

    def show_history(self, items: list[Any]) -> Statement:
        return ShowHistory(_optional(items[0]))

    def explain_upstream(self, items: list[Any]) -> Statement:
        return ExplainUpstream(str(items[0]))

    def set_floor_slots(self, items: list[Any]) -> Statement:
        slots = float(items[1])
        if not slots.is_integer():
            raise _InvalidValueError(items[1], "a whole number of slots")
        return SetFloor(str(items[0]), int(slots), None, items[2] or "")

    def set_floor_share(self, items: list[Any]) -> Statement:
        percent = float(items[1])
        if percent > 100:
            raise _InvalidValueError(items[1], "a number from 0 to 100")
        return SetFloor(str(items[0]), None, percent / 100, items[2] or "")

    def drain(self, items: list[Any]) -> Statement:
        return SetUpstreamState(str(items[0]), "draining", items[1] or "")

    def restore(self, items: list[Any]) -> Statement:
        return SetUpstreamState(str(items[0]), "active", items[1] or "")

    def eject(self, items: list[Any]) -> Statement:
        return SetUpstreamState(str(items[0]), "ejected", items[1] or "")


class _InvalidValueError(Exception):
    def __init__(self, token: Token, expected: str) -> None:
        super().__init__(expected)
        self.token = token
        self.expected = expected


def parse_statement(text: str) -> Statement:
    """Returns the statement in `text`.

    Raises LanguageError, whose message contains the column, the text found and what was expected.

    Example: `parse_statement("show upstreams of supply-yard where state = ejected")`.
    """
    try:
        tree = _parser().parse(text)
        return _StatementBuilder().transform(tree)
    except UnexpectedInput as error:
        raise _syntax_error(text, error) from None
    except VisitError as error:
        if isinstance(error.orig_exc, _InvalidValueError):
            cause = error.orig_exc
            raise _language_error(text, cause.token.column or 1, (cause.expected,)) from None
        raise


@cache
def _parser() -> Lark:
    grammar = resources.files("anviltray.language").joinpath("grammar.lark").read_text("utf-8")
    return Lark(grammar, parser="lalr", maybe_placeholders=True, lexer="contextual")


def _syntax_error(text: str, error: UnexpectedInput) -> LanguageError:
    names: set[str] = set()
    column = error.column
    if isinstance(error, UnexpectedToken):
        names = set(error.accepts or error.expected)
        if error.token.type == "$END":
            column = len(text.rstrip()) + 1
    elif isinstance(error, UnexpectedCharacters):
        names = set(error.allowed or ())
    expected = tuple(
        sorted(_describe_terminal(name) for name in names if name not in ("WS", "SEMICOLON"))
    )
    return _language_error(text, column if column > 0 else len(text) + 1, expected)


def _describe_terminal(name: str) -> str:
    return _TERMINAL_DESCRIPTIONS.get(name, name.lower())


def _language_error(text: str, column: int, expected: tuple[str, ...]) -> LanguageError:
    found = text[column - 1 :].split(maxsplit=1)
    shown = repr(found[0]) if found else "the end"
    message = f"column {column}: found {shown}, expected {' or '.join(expected)}"
    return LanguageError(message, column, expected)


def _optional(token: Token | None) -> str | None:
    return None if token is None else str(token)


def _unquote(token: Token) -> str:
    return str(token)[1:-1] if token.type == "QUOTED" else str(token)
