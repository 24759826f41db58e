"""Tests of the emulator: determinism, engines, faults, figures, replay."""

import asyncio
import dataclasses
import json

import pytest

from emulator import _clients
from emulator import _demand
from emulator import _engines
from emulator import _log_summary
from emulator import _policies
from emulator import _replay
from emulator import _results
from emulator import _simulation
from emulator import _sites
from emulator import _virtual_time
from geraniumlink.serving import _types

_SITE = _sites.Site(instances=3, engines=4, models=_sites.model_names(14))
_WORKLOAD = _demand.Workload(
    "short", duration_s=6.0, rate_per_s=20.0, shift_interval_s=2.0
)
_PRODUCT, *_, _NO_MOVES = _policies.POLICIES


def _spec(policy=_PRODUCT, **fields):
    return _simulation.SimulationSpec(
        _SITE, _WORKLOAD, policy, seed=7, **fields
    )


def test_a_simulation_is_deterministic():
    first, second = (
        _simulation.simulate(_spec()),
        _simulation.simulate(_spec()),
    )
    assert first.results == second.results
    assert first.samples == second.samples
    assert (
        first.log_summarizer.summarize() == second.log_summarizer.summarize()
    )


def test_arrivals_depend_on_the_seed():
    first = _demand.generate_arrivals(_SITE, _WORKLOAD, 1)
    assert first == _demand.generate_arrivals(_SITE, _WORKLOAD, 1)
    assert first != _demand.generate_arrivals(_SITE, _WORKLOAD, 2)


def test_each_request_has_one_result_and_one_outcome():
    simulated = _simulation.simulate(_spec())
    arrivals = _demand.generate_arrivals(_SITE, _WORKLOAD, 7)
    assert sorted(r.arrival for r in simulated.results) == sorted(arrivals)
    figures = _results.summarize(_SITE, simulated)
    shares = [figures[name] for name in _SHARES]
    assert sum(shares) == pytest.approx(1)
    assert figures["requests"] == len(arrivals)


_SHARES = ("in_time", "late", "refused", "failed", "gave_up")


def test_moving_models_refuses_fewer_requests():
    moved = _results.summarize(_SITE, _simulation.simulate(_spec()))
    left = _results.summarize(_SITE, _simulation.simulate(_spec(_NO_MOVES)))
    assert moved["moves"] > 0
    assert left["moves"] == 0
    assert left["refused"] > moved["refused"]


def test_a_controller_that_is_killed_is_replaced():
    site = _SITE._replace(instances=4)
    workload = _WORKLOAD._replace(duration_s=14.0)
    fault = _simulation.Fault(kills_controller=True, at_ms=3000)
    spec = _simulation.SimulationSpec(
        site, workload, _PRODUCT, seed=3, fault=fault
    )
    found = _results.measure_recovery(_simulation.simulate(spec), fault)
    assert found["first_move_ms"] is not None
    # The orders of two leaders are at least the handover gap (1 s) apart.
    assert found["first_move_ms"] > 1000


async def _engine(**fields):
    spec = _SITE.engine._replace(**fields)
    return _engines.Engine(0, spec, _SITE, ["m0", "m1", "m2"], [])


class _RecordedCallbacks:
    """Records the callbacks of an engine for one request."""

    def __init__(self):
        self.tokens = []
        self.ended = False
        self.refused = False

    def record_tokens(self, generated_tokens, is_last):
        self.tokens.append(generated_tokens)
        self.ended = is_last

    def refuse(self):
        self.refused = True


@dataclasses.dataclass
class _FakeRequest:
    model: str = "m0"
    prompt_tokens: int = 2210
    output_tokens: int = 10
    adapter: str = ""
    prefix_blocks: tuple = ()
    last_event_id: bytes = b""


def _submit(engine, priority=0, **fields):
    recorded = _RecordedCallbacks()
    run = _engines.EngineRequest(
        _FakeRequest(**fields),
        priority,
        recorded.record_tokens,
        recorded.refuse,
    )
    engine.submit(run)
    return recorded


def test_prefill_takes_time_by_prompt_tokens():
    async def main(clock):
        engine = await _engine()
        recorded = _submit(engine)
        await clock.sleep(100)
        assert not recorded.tokens
        await clock.sleep(200)
        assert recorded.ended
        assert recorded.tokens[0] == 1
        assert recorded.tokens[-1] == 10

    _virtual_time.run(main)


def test_a_cached_prefix_is_not_processed_again():
    async def main(clock):
        engine = await _engine()
        prefix_blocks = (_types.PrefixBlock("shared", 2000),)
        for _ in range(2):
            _submit(engine, prefix_blocks=prefix_blocks)
            await clock.sleep(1000)
        assert engine.prefill_tokens == 2210 + 210

    _virtual_time.run(main)


def test_the_least_urgent_is_preempted_when_the_kv_cache_is_full():
    async def main(clock):
        engine = await _engine(kv_cache_tokens=4450, tokens_per_event=1)
        urgent = _submit(engine, output_tokens=40)
        patient = _submit(engine, priority=5, output_tokens=40)
        await clock.sleep(400)
        assert engine.preemptions == 1
        assert len(urgent.tokens) > len(patient.tokens)
        await clock.sleep(2000)
        assert urgent.ended
        assert patient.ended

    _virtual_time.run(main)


def test_an_unload_refuses_waiting_and_completes_running_requests():
    async def main(clock):
        engine = await _engine(slots=1)
        running = _submit(engine)
        waiting = _submit(engine)
        await clock.sleep(50)
        assert engine.apply_order(False, "m0", "", 0).accepted
        assert waiting.refused
        await clock.sleep(1000)
        assert running.ended
        assert "m0" not in engine.residents

    _virtual_time.run(main)


def test_an_order_with_a_wrong_count_or_too_many_models_is_refused():
    async def main(clock):
        engine = await _engine()
        assert not engine.apply_order(True, "m5", "", 3).accepted
        with pytest.raises(RuntimeError):
            engine.apply_order(True, "m5", "", 0)
        assert engine.apply_order(False, "m0", "", 0).accepted
        await clock.sleep(50)
        assert engine.apply_order(True, "m5", "", 1).accepted
        assert not engine.apply_order(True, "m6", "", 2).accepted

    _virtual_time.run(main)


def test_virtual_time_advances_only_when_all_tasks_wait():
    async def main(clock):
        began = clock.now()
        await asyncio.gather(clock.sleep(60_000), clock.sleep(30_000))
        return clock.now() - began

    assert _virtual_time.run(main) == 60_000


def test_tasks_that_wait_for_each_other_are_an_error():
    async def main(_clock):
        await asyncio.Event().wait()

    with pytest.raises(RuntimeError, match="wait for each other"):
        _virtual_time.run(main)


def _logged(tmp_path, lines):
    path = tmp_path / "day.log"
    texts = [f" 1.0 i1 {json.dumps(line)}" for line in lines]
    path.write_text("other output of a bench\n" + "\n".join(texts))
    return path


def _admitted(at_s, model="m0"):
    return {
        "message_type": "admitted",
        "timestamp": at_s,
        "instance": "i1",
        "route": "search",
        "service": "s",
        "model": model,
        "adapter": "",
        "priority": 0,
        "prompt_tokens": 1000,
        "output_tokens": 50,
        "left_ms": 4000,
    }


def _finished(at_s, outcome="done"):
    return {
        "message_type": "request",
        "timestamp": at_s,
        "instance": "i1",
        "model": "m0",
        "outcome": outcome,
        "took_ms": 400,
    }


def test_a_log_is_replayed(tmp_path):
    seen = {"message_type": "replica_seen", "timestamp": 0.0, "service": "s"}
    lines = [{**seen, "instance": "i1", "replica": f"r{n}"} for n in range(3)]
    for number in range(20):
        lines += [_admitted(1 + number / 10), _finished(1.4 + number / 10)]
    found = _replay.replay(_logged(tmp_path, lines))
    assert found["logged"]["outcomes"]["done"] == 1
    assert found["emulated"]["requests"] == 20
    assert found["emulated"]["outcomes"]["done"] == 1


def test_a_log_without_requests_is_refused(tmp_path):
    with pytest.raises(ValueError, match="no requests"):
        _replay.replay(_logged(tmp_path, []))


def test_outcomes_are_counted_by_prefix():
    log_summarizer = _log_summary.LogSummarizer()
    for outcome in ("done", "done", "refused: the model isn't loaded", "odd"):
        log_summarizer.add_line("request", _finished(0, outcome))
    shares = log_summarizer.summarize()["outcomes"]
    assert shares["done"] == 0.5
    assert shares["refused: the model"] == 0.25
    assert shares["other"] == 0.25


def test_refused_clients_retry():
    outcome = _simulation.simulate(_spec(_NO_MOVES))
    refused = [
        result
        for result in outcome.results
        if result.outcome is _clients.RequestOutcome.REFUSED
    ]
    assert any(result.attempts > 1 for result in refused)


def test_requests_of_a_killed_instance_are_retried_on_another():
    fault = _simulation.Fault(killed_share=0.7, at_ms=3000)
    with_one_attempt = {
        result.arrival
        for result in _simulation.simulate(_spec()).results
        if result.attempts == 1
    }
    served = (_clients.RequestOutcome.IN_TIME, _clients.RequestOutcome.LATE)
    # Both simulations are identical until the fault.
    assert any(
        result.attempts > 1 and result.outcome in served
        for result in _simulation.simulate(_spec(fault=fault)).results
        if result.arrival in with_one_attempt
        and result.arrival.at_ms < fault.at_ms
    )
