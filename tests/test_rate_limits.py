"""Limits that replicas state on the requests from all instances together."""

import pytest

from geraniumlink import platform
from geraniumlink.serving import _replicas
from geraniumlink.serving import _types
from tests import builders


def _stated(*values):
    headers = [(b"Server-Limit", value) for value in values]
    return platform.decode_response_head(200, headers).rate_limit


@pytest.mark.parametrize(
    ("values", "limit"),
    (
        ((b"4",), 4.0),
        ((b" 1.6 ",), 1.6),
        ((b"0",), 0.0),
        ((b"2", b"1"), 1.0),
        ((b"2, 3",), 2.0),
        ((b"2", b"many"), 2.0),
        ((b"999999999",), 999_999_999.0),
        ((), _types.Unstated.ABSENT),
        *(
            ((value,), _types.Unstated.UNREADABLE)
            for value in (b"", b"-1", b"nan", b"inf", b"1e3", b"1" * 40)
        ),
    ),
)
def test_limit_is_read_from_the_header(values, limit):
    assert _stated(*values) == limit


def _replica():
    return _replicas.Replica(builders.replica_entry())


def test_a_response_without_a_limit_ends_it():
    replica = _replica()
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.ABSENT, sent_at=11, now=20)
    assert replica.rate_limit is None


def test_a_response_to_an_earlier_request_does_not_end_a_limit():
    replica = _replica()
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.ABSENT, sent_at=9, now=20)
    assert replica.rate_limit.per_s == 2.0


def test_an_unreadable_limit_changes_nothing():
    replica = _replica()
    replica.note_rate_limit(_types.Unstated.UNREADABLE, sent_at=0, now=10)
    assert replica.rate_limit is None
    replica.note_rate_limit(2.0, sent_at=0, now=10)
    replica.note_rate_limit(_types.Unstated.UNREADABLE, sent_at=20, now=30)
    assert replica.rate_limit.per_s == 2.0
