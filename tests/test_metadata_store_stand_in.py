"""The store's stand-in does what its fault switches say."""

import anyio
import pytest

pytestmark = pytest.mark.anyio

_LEASE = "/v1/objects/leases"


async def _start(fleet, *arguments):
    store = fleet.stand_in("metadata_store", *arguments)
    await fleet.answers(store.port, "/record")
    return store


def _message(spec, revision=None):
    return {"metadata": {"name": "x", "revision": revision}, "spec": spec}


async def _write(fleet, store, spec, revision):
    message = _message(spec, revision)
    return await fleet.post(store, f"{_LEASE}/x", message, "PUT")


async def _late_write(fleet, store, spec, revision):
    """Write so that it gets no answer and takes effect 0.4 s later."""
    await fleet.faults(store, late_writes_ms=400)
    with anyio.move_on_after(0.1):
        await _write(fleet, store, spec, revision)
    await fleet.faults(store, late_writes_ms=0)


async def _read(fleet, store, query=""):
    return (await fleet.get(store.port, f"{_LEASE}/x{query}")).body["spec"]


@pytest.mark.parametrize(
    ("overtaken", "specs"), [(False, ["a", "b"]), (True, ["c", "c"])]
)
async def test_a_late_write_takes_effect_only_on_its_condition(
    fleet, overtaken, specs
):
    store = await _start(fleet)
    await fleet.post(store, _LEASE, _message("a"))
    await _late_write(fleet, store, "b", 1)
    if overtaken:
        await _write(fleet, store, "c", 1)
    found = [await _read(fleet, store)]
    await anyio.sleep(0.6)
    assert [*found, await _read(fleet, store)] == specs


async def test_only_serializable_reads_are_old(fleet):
    store = await _start(fleet)
    await fleet.post(store, _LEASE, _message("a"))
    await anyio.sleep(1)
    await _write(fleet, store, "b", 1)
    await fleet.faults(store, old_reads_ms=700)
    assert await _read(fleet, store, "?serializable=1") == "a"
    assert await _read(fleet, store) == "b"


async def test_acknowledged_writes_outlive_the_process(fleet):
    state = str(fleet.folder / "store.jsonl")
    store = await _start(fleet, "--state", state)
    await fleet.post(store, _LEASE, _message("a"))
    store.kill()
    store.start()
    await fleet.answers(store.port, "/record")
    assert await _read(fleet, store) == "a"
    assert (await _write(fleet, store, "b", 1)).body["metadata"] == {
        "name": "x",
        "revision": 2,
        "created": 1,
        "finalizers": [],
        "deleting": False,
    }


async def test_single_callers_are_refused(fleet):
    store = await _start(fleet)
    link, relayed = fleet.link(store.address)
    await fleet.answers(link.port, "/record")
    await fleet.faults(store, refuse_hosts={relayed: 429})
    port = int(relayed.rpartition(":")[2])
    assert (await fleet.get(port, _LEASE)).status == 429
    assert (await fleet.get(store.port, _LEASE)).status == 200
    await fleet.faults(link, cut=True, refuse=True)
    assert await fleet.get(port, _LEASE) is None
    with pytest.raises(OSError):
        await anyio.connect_tcp("127.0.0.1", port)
    await fleet.faults(link, cut=False, refuse=False)
    assert (await fleet.get(port, _LEASE)).status == 429
