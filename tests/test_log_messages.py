"""The table of log messages, the code and the docs say the same."""

import ast
import pathlib

from geraniumlink import _log_messages

_ROOT = pathlib.Path(__file__).parent.parent
# Calls that pass a name on: each of the names is in the table.
_PASSED_ON = {
    "isolated",
    "isolation_over",
    "store_lost",
    "store_regained",
}


def _calls():
    """Yield the message and the fields of each call that logs a line."""
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
    assert unused <= _PASSED_ON


def test_the_docs_list_them():
    listed = (_ROOT / "docs" / "log-messages.md").read_text()
    assert listed.endswith(_log_messages.markdown())


def test_nothing_secret_is_logged():
    for name, known in _log_messages.MESSAGES.items():
        secret = {"prompt", "body", "headers", "tokens"} & set(known.fields)
        assert not secret, name
