"""The code, the tables of log messages and fields, and the docs agree."""

import ast
import pathlib

import pytest

from geraniumlink import _log_fields
from geraniumlink import _log_messages

_ROOT = pathlib.Path(__file__).parent.parent
# Messages whose name isn't a literal argument of ``_logs.event``.
_PASSED_ON = {
    "isolated",
    "isolation_over",
    "store_lost",
    "store_regained",
}


def _calls():
    """Yield the message and fields of each call of ``_logs.event``."""
    for path in sorted((_ROOT / "src").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.Call(
                    func=ast.Attribute(
                        attr="event", value=ast.Name(id="_logs")
                    ),
                    args=[ast.Constant(value=name)],
                    keywords=keywords,
                ):
                    fields = {k.arg for k in keywords if k.arg is not None}
                    yield name, fields


def test_each_line_that_is_logged_is_in_the_table():
    logged = {}
    for name, fields in _calls():
        assert name in _log_messages.MESSAGES, name
        known = set(_log_messages.MESSAGES[name].fields)
        assert fields <= known, (name, fields - known)
        logged.setdefault(name, set()).update(fields)
    unused = _log_messages.MESSAGES.keys() - logged.keys()
    assert unused <= _PASSED_ON | _steps()


# Functions and classes that pass the name of a step on to ``_logs.event``.
_STEP_LOGS = (
    "log_step",
    "_log",
    "_log_transition",
    "_log_order",
    "Transition",
)


def _steps():
    """Return the names of the steps of claims and ledgers in the code."""
    named = set()
    for folder in ("once", "control"):
        for path in (_ROOT / "src" / "geraniumlink" / folder).glob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                named |= _steps_of(node)
    return named


def _steps_of(node):
    match node:
        case ast.Call(
            func=ast.Name(id=name) | ast.Attribute(attr=name),
            args=[ast.Constant(value=str(step)), *_],
        ) if name in _STEP_LOGS:
            return {step}
        case ast.Assign(
            targets=[ast.Name(id="log_event")], value=ast.Constant(value=step)
        ):
            return {step}
        case ast.FunctionDef(name="_step_name"):
            return {
                part.value.value
                for part in ast.walk(node)
                if isinstance(part, ast.Return)
            }
    return set()


def test_each_step_of_a_claim_or_a_ledger_is_in_the_table():
    steps = _steps()
    assert "owner_silent" in steps
    assert "call_dispatched" in steps
    assert "intent_retired" in steps
    assert "order_sent" in steps
    assert steps <= _log_messages.MESSAGES.keys()


def test_each_field_has_a_type():
    listed = {
        name
        for known in _log_messages.MESSAGES.values()
        for name in known.fields
    }
    assert listed == _log_fields.FIELDS.keys()
    for message, name in _log_fields.TYPE_OVERRIDES:
        assert name in _log_messages.MESSAGES[message].fields


@pytest.mark.parametrize(
    ("message", "name", "value", "valid"),
    (
        ("attempt", "load", [1, 0, 8], True),
        ("attempt", "load", None, True),
        ("attempt", "load", [1, "0", 8], False),
        ("order", "load", True, True),
        ("order", "load", [1, 0, 8], False),
        ("waiting", "replicas", 3, True),
        ("unreachable", "replicas", ["r-1"], True),
        ("attempt", "failures", 1, True),
        ("attempt", "failures", "1", False),
        ("attempt", "attempt", True, False),
        ("attempt", "request_id", None, False),
        ("lines_left_out", "counts", {"request": 2}, True),
        ("lines_left_out", "counts", {"request": 0.5}, False),
    ),
)
def test_a_value_is_checked_against_the_type_of_its_field(
    message, name, value, valid
):
    assert _log_fields.is_valid(message, name, value) is valid


def test_the_docs_have_the_tables():
    listed = (_ROOT / "docs" / "log-messages.md").read_text()
    assert listed.endswith(_log_messages.markdown())
    assert _log_fields.markdown() in listed


def test_no_message_has_a_field_for_private_content():
    for name, known in _log_messages.MESSAGES.items():
        secret = {"prompt", "body", "headers", "tokens"} & set(known.fields)
        assert not secret, name
