"""Adapters of models that are served all day are served themselves."""

import random

import pytest

from emulator import _sites
from emulator import _virtual_time
from tests import emulated_controller
from tests import placement_day

# Loads take longer than most clients wait, and each engine has one to begin
# whenever another one ends.
_SITE = _sites.Site(
    instances=1,
    engines=45,
    models=_sites.model_names(196),
    adapters=16,
    # Half of the busy models; the rare ones have none.
    models_with_adapters=frozenset(_sites.model_names(75)[::2]),
    engine=_sites.EngineSpec(adapter_slots=8),
    load_ms=9000.0,
    local_load_ms=2400.0,
    loads_per_s=13.0,
)
_DAY_MS = 34_000
# The system starts before the traffic.
_LEAD_MS = 10_000
_BUSY_PER_S = 215
_RARE_PER_S = 12
# Most busy models stay so; these many are replaced by others at each shift.
_BUSY_COUNT = 30
_SHIFTING_COUNT = 5
_SHIFT_MS = 8000
_BUSY_MODELS = _SITE.models[:75]
_RARE_MODELS = _SITE.models[75:]
_ADAPTER_SHARE = 0.4
_PROMPT_TOKENS = 2200
_BUSY_WAIT_MS = 4000
_RARE_WAIT_MS = 25_000
_MIN_REQUESTS = 4
_MIN_SPAN_MS = 8000


class _Takeover(emulated_controller.Leadership):
    """A lease under which no order is allowed for a part of the day."""

    _BEGINS_MS = _LEAD_MS + 12_000
    _ENDS_MS = _LEAD_MS + 20_000

    def __init__(self, clock):
        self._clock = clock
        self._began = clock.now()

    def may_order(self):
        played_ms = self._clock.now() - self._began
        return not self._BEGINS_MS <= played_ms < self._ENDS_MS


def _make_engines(random_source):
    """Return engines with the busiest models on many, others on one each."""
    busy, rare = _BUSY_MODELS[:_BUSY_COUNT], list(_RARE_MODELS)
    random_source.shuffle(rare)
    models = [*busy[:15] * 2, *busy, *rare]
    return placement_day.make_engines(_SITE, models, random_source)


def _busy_at(played_ms):
    """Return the busy models at a time, the most popular first."""
    shift = int(played_ms // _SHIFT_MS)
    first = _BUSY_COUNT + shift * _SHIFTING_COUNT
    joined = _BUSY_MODELS[first - _SHIFTING_COUNT : first] if shift else ()
    return [*joined, *_BUSY_MODELS[: _BUSY_COUNT - len(joined)]]


def _arrivals(random_source):
    per_s = _BUSY_PER_S + _RARE_PER_S
    for number in range(per_s * _DAY_MS // 1000):
        if random_source.random() < _RARE_PER_S / per_s:
            model = random_source.choice(_RARE_MODELS)
            yield placement_day.Arrival(model, _PROMPT_TOKENS, _RARE_WAIT_MS)
            continue
        busy = _busy_at(number * 1000 / per_s)
        weights = [1 / (rank + 2) for rank in range(len(busy))]
        (model,) = random_source.choices(busy, weights)
        adapter = ""
        has_adapters = model in _SITE.models_with_adapters
        if has_adapters and random_source.random() < _ADAPTER_SHARE:
            adapter = f"a{random_source.randrange(_SITE.adapters)}"
        yield placement_day.Arrival(
            model, _PROMPT_TOKENS, _BUSY_WAIT_MS, adapter
        )


@pytest.fixture(scope="module", params=["controller stays", "takeover"])
def day(request):
    async def play(clock):
        random_source = random.Random(1)
        leadership = None
        if request.param == "takeover":
            leadership = _Takeover(clock)
        played = placement_day.Day(
            clock, _SITE, _make_engines(random_source), leadership, _LEAD_MS
        )
        return await played.play(
            _arrivals(random_source), _BUSY_PER_S + _RARE_PER_S
        )

    return _virtual_time.run(play)


def test_adapters_wait_for_the_loads_of_models_until_none_is_served(day):
    counted = [
        wanted
        for wanted in day.asked_through_the_day(_MIN_REQUESTS, _MIN_SPAN_MS)
        if wanted[1] and day.served_at[wanted[0], ""]
    ]
    assert len(counted) > 50
    starved = [wanted for wanted in counted if not day.served_at[wanted]]
    assert not starved


def test_requests_for_resident_models_lack_their_adapter(day):
    """Nine in ten get it."""
    assert len(day.adapter_requests) > 500
    assert sum(day.adapter_requests) >= 0.9 * len(day.adapter_requests)


def test_more_is_never_served_than_the_platform_allows(day):
    counted = day.asked_through_the_day(_MIN_REQUESTS, _MIN_SPAN_MS)
    unserved = [wanted for wanted in counted if not day.served_at[wanted]]
    assert len(unserved) <= 1 + 0.1 * len(counted)
