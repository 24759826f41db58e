"""Accounts of clients: their configuration and the decision on requests."""

import random
import types

import aioprometheus
import pytest

from geraniumlink.interface import _log_analysis
from geraniumlink.interface import _log_reader
from geraniumlink import platform
from geraniumlink.serving import _account_check
from geraniumlink.serving import _accounts
from geraniumlink.serving import _active_configuration
from geraniumlink.serving import _decision_log
from geraniumlink.serving import _request_metrics
from geraniumlink.serving import _types
from tests import hosts


def _configure(*tenants, **account):
    entries = [*tenants, {"name": "a", "api_keys": ["ka"], **account}]
    spec = {**hosts.configuration(), "tenants": entries}
    return platform.decode_configuration(spec)


def _decode(*tenants, **account):
    return _configure(*tenants, **account).accounts


def _owner(accounts, key):
    account = accounts.find_by_digest(_accounts.digest_key(key.encode()))
    return account and account.name


def test_an_account_is_decoded():
    accounts = _decode(
        api_keys=["k1", "", "k2"],
        priority=0,
        rate_per_s=10,
        burst=5.5,
        unit="tokens",
        plain_tokens=300,
    )
    account = accounts.find("a")
    assert (account.name, account.priority) == ("a", 0)
    assert account.quota == _types.Quota(10, 5.5, _types.QuotaUnit.TOKENS, 300)
    assert _owner(accounts, "k1") == _owner(accounts, "k2") == "a"
    # An empty key grants nothing.
    assert _owner(accounts, "") is None
    assert not accounts.problems


def test_an_account_without_a_rate_is_unlimited():
    account = _decode(rate_per_s=0, burst=4, unit=None).find("a")
    assert (account.quota, account.priority) == (None, None)


def test_without_accounts_no_key_is_needed():
    spec = hosts.configuration()
    assert "tenants" not in spec
    assert platform.decode_configuration(spec).accounts is None


@pytest.mark.parametrize(
    "entry",
    (
        {"api_keys": ["kb", "ka"]},
        {"name": "", "api_keys": ["kb"]},
        {"name": "b\r\nx: y", "api_keys": ["kb"]},
        {"name": " b", "api_keys": ["kb"]},
        {"name": "b" * 257, "api_keys": ["kb"]},
        {"name": 7, "api_keys": ["kb"]},
        {"name": "b", "api_keys": ["kb", 7]},
        {"name": "b", "api_keys": "kb"},
        {"name": "b", "api_keys": {"kb": "kb"}},
        {"name": "b", "api_keys": ["kb"], "rate_per_s": -1},
        {"name": "b", "api_keys": ["kb"], "burst": "kb"},
        {"name": "b", "api_keys": ["kb"], "unit": "kb"},
        {"name": "b", "api_keys": ["kb"], "unit": ["tokens"]},
        {"name": "b", "api_keys": ["kb"], "priority": "kb"},
        {"name": "b", "api_keys": ["kb"], "plain_tokens": True},
        "kb",
        None,
        ["kb"],
    ),
)
def test_a_malformed_account_affects_only_itself(entry):
    accounts = _decode(entry)
    assert _owner(accounts, "kb") is None
    assert _owner(accounts, "ka") == "a"
    (problem,) = accounts.problems
    assert "kb" not in str(problem)


def test_a_key_of_two_accounts_grants_access_to_neither():
    shared = [
        {"name": name, "api_keys": ["both", f"k{name}"]} for name in "bcd"
    ]
    accounts = _decode(*shared)
    assert _owner(accounts, "both") is None
    assert [_owner(accounts, f"k{name}") for name in "abcd"] == list("abcd")
    assert len(accounts.problems) == 2


def test_a_second_account_of_a_name_is_left_out():
    accounts = _decode({"name": "a", "api_keys": ["first"]})
    assert _owner(accounts, "first") == "a"
    assert _owner(accounts, "ka") is None


@pytest.mark.parametrize("tenants", ("ka", {"name": "a"}, 0, False, None))
def test_accounts_that_are_no_list_grant_nothing(tenants):
    spec = {**hosts.configuration(), "tenants": tenants}
    configuration = platform.decode_configuration(spec)
    assert configuration.accounts is not None
    assert not len(configuration.accounts)
    assert len(configuration.accounts.problems) == 1
    assert configuration.routes


@pytest.mark.parametrize(
    ("value", "is_public"), ((True, True), (False, False), ("yes", False))
)
def test_a_malformed_public_route_needs_a_key(value, is_public):
    spec = hosts.configuration(1, hosts.route("open", "safe", public=value))
    assert platform.decode_configuration(spec).routes[-1].public is is_public


def test_keys_are_in_no_representation():
    accounts = _decode(api_keys=["secret-key"])
    account = accounts.find("a")
    assert "secret-key" not in repr(accounts) + repr(account)
    assert not any(repr(d)[2:-1] in repr(account) for d in account.key_digests)


def _credential(key):
    """Return the digest of a key; why there is none as it is."""
    is_key = isinstance(key, str)
    return _accounts.digest_key(key.encode()) if is_key else key


@pytest.mark.parametrize(
    ("values", "credential"),
    (
        ((b"Token k",), "k"),
        ((b"tOKEN   k ",), "k"),
        ((), _types.NoKey.ABSENT),
        ((b"Token k", b"Token k"), _types.NoKey.MALFORMED),
        ((b"Bearer k",), _types.NoKey.MALFORMED),
        ((b"Token",), _types.NoKey.MALFORMED),
        ((b"Token  ",), _types.NoKey.MALFORMED),
        ((b"Token\tk",), _types.NoKey.MALFORMED),
        ((b"",), _types.NoKey.MALFORMED),
        ((b"k",), _types.NoKey.MALFORMED),
    ),
)
def test_a_credential_is_decoded(values, credential):
    headers = [(b"authorization", value) for value in values]
    assert platform.decode_credential(headers) == _credential(credential)


_CREDENTIALS = [
    (b"authorization", b"Token k"),
    (b"x-tenant", b"other"),
    (b"geraniumlink-relayed-account", b"other"),
    (b"x-kept", b"1"),
]


def test_replicas_get_the_account_and_never_the_key():
    request = platform.decode_request_head(
        b"GET", b"/", _CREDENTIALS, 0, has_accounts=True
    )
    request = request._replace(account="ä b")
    head = platform.encode_request_head(
        request, replica="r", left_ms=1, priority=0, last_event_id=b""
    )
    assert b"Token" not in head
    assert b"other" not in head
    assert "\r\nx-tenant: ä b\r\n".encode() in head
    relayed = platform.encode_relayed_head(
        request, left_ms=1, attempts=0, last_event_id=b"", resumes=b""
    )
    assert b"Token" not in relayed
    lines = [line.partition(b": ") for line in relayed.split(b"\r\n")]
    headers = [(name, value) for name, _, value in lines]
    assert platform.decode_relayed_account(headers) == "ä b"


def test_without_accounts_credentials_are_forwarded_as_they_are():
    request = platform.decode_request_head(b"GET", b"/", _CREDENTIALS, 0)
    assert request.headers == [*_CREDENTIALS[:2], _CREDENTIALS[3]]


@pytest.mark.parametrize(
    ("value", "is_stated"),
    ((b"1,2", True), (b" 0 , 0", True), (b"7", False), (b"x,1", False)),
)
def test_it_is_known_whether_a_client_stated_its_tokens(value, is_stated):
    headers = [(b"x-token-usage", value)]
    request = platform.decode_request_head(b"GET", b"/", headers, 0)
    assert request.has_token_usage is is_stated


_ROUTE = platform.decode_configuration(hosts.configuration()).routes[0]
_PUBLIC = _ROUTE._replace(public=True)
_KNOWN, _UNKNOWN = "ka", "kb"


@pytest.mark.parametrize(
    ("route", "credential", "age_ms", "bound_ms", "decision"),
    (
        (_ROUTE, _KNOWN, 0, None, "a"),
        (_ROUTE, _UNKNOWN, 0, None, 401),
        (_ROUTE, _types.NoKey.ABSENT, 0, None, 401),
        (_ROUTE, _types.NoKey.MALFORMED, 0, None, 401),
        (_PUBLIC, _KNOWN, 0, None, "a"),
        (_PUBLIC, _UNKNOWN, 0, None, ""),
        (_PUBLIC, _types.NoKey.MALFORMED, 0, None, ""),
        # Without a bound a known key is served however old the copy is, but
        # an old copy doesn't deny a key that may have been added.
        (_ROUTE, _KNOWN, None, None, "a"),
        (_ROUTE, _UNKNOWN, 10_001, None, 503),
        (_ROUTE, _UNKNOWN, None, None, 503),
        (_ROUTE, _KNOWN, 4500, 5000, "a"),
        (_ROUTE, _KNOWN, 4501, 5000, 503),
        (_ROUTE, _KNOWN, None, 5000, 503),
        (_ROUTE, _UNKNOWN, 4500, 5000, 401),
        (_ROUTE, _UNKNOWN, 4501, 5000, 503),
        (_ROUTE, _types.NoKey.ABSENT, 4501, 5000, 503),
        # The key may have been removed from the newest configuration.
        (_PUBLIC, _KNOWN, 4500, 5000, "a"),
        (_PUBLIC, _KNOWN, 4501, 5000, ""),
        (_PUBLIC, _KNOWN, None, 5000, ""),
        (_PUBLIC, _types.NoKey.ABSENT, None, 5000, ""),
        # A route that doesn't exist is answered elsewhere.
        (None, _UNKNOWN, None, 5000, ""),
    ),
)
def test_a_request_is_decided_on(
    route, credential, age_ms, bound_ms, decision
):
    found = _accounts.decide(
        _configure(), route, _credential(credential), age_ms, bound_ms
    )
    match found:
        case _accounts.Admitted(route=admitted_route, account=account):
            assert admitted_route == route
            assert decision == (account.name if account else "")
        case _accounts.Denied():
            assert decision == 401
        case _accounts.Undecided():
            assert decision == 503


def _check_account(target, *headers):
    """Return the decision on a request without a key."""
    active = _active_configuration.ActiveConfiguration()
    route = hosts.route("open", "safe", public=True)
    spec = {**hosts.configuration(1, route), "tenants": []}
    active.apply_if_newer(platform.decode_configuration(spec))
    check = _account_check.AccountCheck(
        active_configuration=active,
        confirmed_age_ms=lambda: 0,
        bound_ms=None,
        metrics=_request_metrics.RequestMetrics(aioprometheus.Registry()),
        random_source=random.Random(1),
    )
    headers = [(b"host", hosts.HOST.encode()), *headers]
    request = platform.decode_request_head(b"GET", target, headers, 0)
    return check.decide(request, headers)


@pytest.mark.parametrize(
    ("target", "is_public"),
    (
        (b"/open/x", True),
        (b"/open/..x/.y/z..?/../", True),
        (b"/open/../safe/x", False),
        (b"/open/./x", False),
        (b"/open/..", False),
        (b"/open/%2e%2E/safe/x", False),
        (b"/open/x%2f..%2f../safe/x", False),
    ),
)
def test_a_path_with_dot_segments_leads_out_of_a_public_route(
    target, is_public
):
    """A replica that removes them would run a request on another route."""
    decision = _check_account(target)
    expected = _accounts.Admitted if is_public else _accounts.Denied
    assert isinstance(decision, expected)


def test_a_second_host_leads_out_of_a_public_route():
    """A replica may go by the first field, and this instance by the last."""
    host = (b"host", hosts.HOST.encode())
    assert isinstance(_check_account(b"/open/x", host), _accounts.Denied)


def test_a_long_request_id_fills_the_log(monkeypatch):
    """Anyone may send requests without a key."""
    logged = []
    monkeypatch.setattr(
        _decision_log._logs,
        "event",
        lambda message, **fields: logged.append((message, fields)),
    )
    _check_account(b"/safe/x", (b"x-request-id", b"i" * 16_000))
    ((_, fields),) = [entry for entry in logged if entry[0] == "denied"]
    assert fields["request_id"] == "i" * 128


def test_without_accounts_every_request_is_admitted():
    """Also as a copy of any age is stale: strictness concerns keys only."""
    found = _accounts.decide(
        _configure()._replace(accounts=None),
        _ROUTE,
        _credential("kb"),
        None,
        5000,
    )
    assert isinstance(found, _accounts.Admitted)
    assert (found.route, found.account) == (_ROUTE, None)


@pytest.mark.parametrize(
    ("own", "route", "expected"),
    (
        (None, 1, 4),
        (0, 1, 1),
        (0, 9, 2),
        (1, 0, 3),
        (1, 2, 5),
        (7, 1, 22),
    ),
)
def test_the_priority_of_an_account_goes_before_that_of_the_route(
    own, route, expected
):
    # Without the route's, urgent kinds of requests would wait behind others.
    active = _active_configuration.ActiveConfiguration()
    configuration = _configure(priority=own)
    routes = [r._replace(priority=route) for r in configuration.routes]
    active.apply_if_newer(configuration._replace(routes=tuple(routes)))
    request = platform.decode_request_head(
        b"GET", b"/safe/x", [(b"host", hosts.HOST.encode())], 0
    )
    # Also for a request that another instance has decided on.
    admitted = active.admit(request._replace(account="a"))
    assert admitted.effective_route.priority == expected
    for account in ("", "unknown"):
        admitted = active.admit(request._replace(account=account))
        assert admitted.effective_route.priority == 3 * route + min(route, 2)


def _line(message, **fields):
    return _log_reader.LogLine(0.0, "i-1", message, fields)


def test_a_summary_counts_by_account():
    lines = [
        _line("request", account="a", service="s", status=200, outcome="done"),
        _line("request", account="b", service="s", status=503, outcome="full"),
        _line("request", account="a", service="s", status=200, outcome="done"),
        _line("denied", route="r", reason="it has no key"),
    ]
    summary = list(_log_analysis.summarize(lines, 0, 1))
    assert "       2 a 200 done" in summary
    assert "       1 b 503 full" in summary
    assert "       1 r: it has no key" in summary
    only = list(_log_analysis.summarize(lines, 0, 1, "b"))
    assert only[0] == "1 requests"
    assert not any(" a 200" in text for text in only)
    # A log without accounts is summarized as before.
    plain = [_line("request", account="", service="s", status=200)]
    assert "requests of accounts" not in _log_analysis.summarize(plain, 0, 1)


def test_the_labels_of_accounts_are_bounded():
    """With 10,000 accounts the metrics would outgrow the smallest machines."""
    metrics = _request_metrics.RequestMetrics(aioprometheus.Registry())
    most = _request_metrics.MAX_ACCOUNT_LABELS
    for number in range(2 * most):
        state = types.SimpleNamespace(
            request=types.SimpleNamespace(account=f"a{number}", received_at=0),
            route=_ROUTE,
            service="s",
            outcome="done",
            first_event_at=None,
        )
        metrics.record_request(state, 1)
    counted = metrics._account_requests.get_all()
    assert len(counted) == most + 1
    assert sum(value for _, value in counted) == 2 * most
