"""The messages that log lines carry, with their fields.

``docs/log-messages.md`` is made from this table by ``markdown``. A field's
name carries its unit. Prompts, bodies and headers are never logged.
"""

from __future__ import annotations

import enum
import typing


class Scope(enum.Enum):
    """What a message is about."""

    # Bounded in number, and left out before the others.
    REQUEST = "one request"
    # What the process is, does or believes.
    STATE = "the process"


class Message(typing.NamedTuple):
    """A kind of log line."""

    scope: Scope
    meaning: str
    fields: tuple[str, ...]


_REQUEST = Scope.REQUEST
_STATE = Scope.STATE


def _step(meaning: str, *fields: str) -> Message:
    """Return a step on the way of a claim, as specs/claims.py names it."""
    return Message(_STATE, meaning, tuple(sorted(("claim", "nonce", *fields))))


def _ledger_step(meaning: str, *fields: str) -> Message:
    """Return a step on the way of a replica's ledger."""
    known = ("deployment", "epoch", "replica", *fields)
    return Message(_STATE, meaning, tuple(sorted(known)))


def _note_step(meaning: str) -> Message:
    return _ledger_step(meaning, *_COPY, "seen")


def _order_step(meaning: str, *fields: str) -> Message:
    return _ledger_step(meaning, *_COPY, "action", "size_mb", *fields)


# A copy of a model or an adapter, and the order that brought it.
_COPY = ("adapter", "fencing_number", "model", "version")
MESSAGES: dict[str, Message] = {
    "admitted": Message(
        _REQUEST,
        "a request goes by a route of a configuration",
        (
            "adapter",
            "configuration_version",
            "last_event_id",
            "left_ms",
            "model",
            "output_tokens",
            "priority",
            "prompt_tokens",
            "request_id",
            "route",
            "service",
        ),
    ),
    "adopted": _note_step(
        "a copy that was on no record was taken into the ledger"
    ),
    "another_request": _step("a key is in use for another request", "found"),
    "answers_not_read": Message(
        _STATE,
        "clients did not read their answers before the process ended",
        (),
    ),
    "arrived_late": _note_step(
        "an order was carried out after it was given up"
    ),
    "attempt": Message(
        _REQUEST,
        "a replica was chosen, and what decided it",
        (
            "attempt",
            "expected_ms",
            "failures",
            "in_flight",
            "in_flight_elsewhere",
            "last_event_id",
            "left_ms",
            "load",
            "load_age_ms",
            "replica",
            "request_id",
        ),
    ),
    "attempt_failed": Message(
        _REQUEST,
        "a replica did not serve a request; `why_final` says why it isn't"
        " sent again, and is empty when it is",
        (
            "attempt",
            "outcome",
            "reason",
            "replica",
            "request_id",
            "why_final",
        ),
    ),
    "bad_claim_message": Message(
        _STATE,
        "a peer's message about a claim made no sense",
        ("error", "peer"),
    ),
    "bad_configuration_page": Message(
        _STATE,
        "a peer's page of the configuration made no sense",
        ("error", "peer"),
    ),
    "bad_exchange": Message(
        _STATE, "a peer's heartbeat made no sense", ("error", "peer")
    ),
    "bad_instance_list": Message(
        _STATE, "the platform's instance list made no sense", ("error",)
    ),
    "bad_leaving": Message(
        _STATE, "word of a leaving server made no sense", ("error",)
    ),
    "bad_memory_report": _ledger_step(
        "an engine's report of its memory made no sense", "error"
    ),
    "bad_message": Message(
        _STATE, "another instance's message made no sense", ("error", "path")
    ),
    "bad_relay": Message(
        _STATE,
        "what the controller told of the store made no sense",
        ("error",),
    ),
    "bad_report": Message(
        _STATE,
        "an engine's report made no sense",
        ("deployment", "error", "replica"),
    ),
    "bad_report_answer": Message(
        _STATE, "the controller's answer to a report made no sense", ("error",)
    ),
    "bad_suspicions": Message(
        _STATE, "a peer's suspicions made no sense", ("error",)
    ),
    "bad_want_answer": Message(
        _STATE, "the controller's answer to a want made no sense", ("error",)
    ),
    "body_not_taken": Message(
        _REQUEST,
        "a replica did not read a whole body",
        ("error", "request_id"),
    ),
    "call_abandoned": _step("a call was given up before it was sent"),
    "call_dispatched": _step("a call is being sent to a server"),
    "change": Message(
        _STATE,
        "a change of a declaration was accepted or refused",
        ("action", "author", "change_id", "deployment", "outcome"),
    ),
    "charge_kept": _note_step(
        "a copy is gone, and an order may still bring it back"
    ),
    "charge_released": _note_step(
        "a copy is gone, and no order can bring it back"
    ),
    "child_failed": Message(
        _STATE, "a supervised task failed", ("child", "error")
    ),
    "claim_found": _step(
        "a claim was there already, without an outcome", "found"
    ),
    "claim_held": _step("a claim was taken for a call"),
    "claim_lost": Message(
        _STATE,
        "a claim was gone before its outcome was recorded",
        ("claim", "nonce"),
    ),
    "claim_taken_over": _step(
        "a claim that nobody uses was taken over", "found"
    ),
    "claim_unavailable": _step(
        "a claim could not be taken or read", "problem"
    ),
    "claim_unreadable": Message(
        _STATE, "a claim in the object API made no sense", ("claim", "error")
    ),
    "configuration_finding": Message(
        _STATE, "an accepted declaration has a fault", ("place", "problem")
    ),
    "configuration_in_force": Message(
        _STATE,
        "a newer configuration is in force here",
        (
            "deployments",
            "newest",
            "previous_version",
            "revision",
            "routes",
            "source",
            "version",
        ),
    ),
    "configuration_loaded": Message(
        _STATE, "the first configuration after a start", ("revision", "source")
    ),
    "configuration_unreadable": Message(
        _STATE,
        "a configuration made no sense; the former stays",
        ("deployment", "error", "version"),
    ),
    "connection_breaks": _step("a call's connection broke; it may have run"),
    "controller_reached": Message(
        _STATE,
        "the controller answers, the first time or again",
        ("controller",),
    ),
    "controller_unreachable": Message(
        _STATE, "the controller did not answer", ("controller", "error")
    ),
    "copy_lost": _note_step("a copy is gone that had been there"),
    "crash_probe_failed": Message(
        _STATE,
        "whether a server has gone is not known yet",
        ("error", "server"),
    ),
    "deadline_unclaimed": _step(
        "a deadline passed while another held the claim"
    ),
    "drained": Message(_STATE, "the drain is over", ("in_flight",)),
    "draining": Message(
        _STATE, "SIGTERM came; new connections go elsewhere", ("in_flight",)
    ),
    "engine_restarted": _ledger_step(
        "an engine runs as another process", "boot_id"
    ),
    "entry_unreadable": Message(
        _STATE, "a replica's entry made no sense", ("error", "replica")
    ),
    "foreign_answer": Message(
        _REQUEST,
        "an answer to another request was dropped",
        ("replica", "request_id"),
    ),
    "instance_left": Message(
        _STATE, "another instance closed its connection early", ("path",)
    ),
    "instance_list_unavailable": Message(
        _STATE, "the platform's instance list did not answer", ("error",)
    ),
    "intent_retired": _note_step("a copy is there as was intended"),
    "intent_written": _order_step(
        "an order was written down before it is sent",
        "charge_mb",
        "capacity_mb",
    ),
    "internal_error": Message(
        _STATE,
        "a fault of geraniumlink; the request got an error",
        ("claim", "error", "request_id"),
    ),
    "isolated": Message(
        _STATE, "neither the object API nor a peer is heard", ()
    ),
    "isolation_over": Message(
        _STATE, "the object API or a peer is heard again", ()
    ),
    "key_expired": _step("a key is too old for a claim"),
    "late_write_recognised": Message(
        _STATE, "a write whose answer was lost had taken effect", ("replica",)
    ),
    "lease_lost": Message(
        _STATE, "another instance controls now", ("deployment", "epoch")
    ),
    "lease_not_released": Message(
        _STATE,
        "a lease could not be given back; it lapses",
        ("error", "shard"),
    ),
    "lease_released": Message(
        _STATE, "a lease was given back", ("deployment", "epoch")
    ),
    "lease_taken": Message(
        _STATE, "this instance controls", ("deployment", "epoch")
    ),
    "lease_unavailable": Message(
        _STATE, "the lease could not be read or renewed", ("error",)
    ),
    "lease_unreadable": Message(
        _STATE, "a lease made no sense", ("error", "shard")
    ),
    "leaving": Message(
        _STATE,
        "a backend server says that it leaves",
        ("deployment", "replica"),
    ),
    "ledger_claimed": _ledger_step(
        "the ledger of a replica was taken over", "charge_mb"
    ),
    "ledger_unreadable": Message(
        _STATE,
        "a ledger made no sense; its replica gets no orders",
        ("findings", "replica", "version"),
    ),
    "lines_left_out": Message(
        _STATE,
        "log lines left out since the last such line, by message",
        ("counts",),
    ),
    "listed_as_leaving": Message(
        _STATE,
        "the instance list says that a server leaves",
        ("deployment", "leaving", "replica"),
    ),
    "move": Message(
        _STATE,
        "a model is to be loaded, and what makes room for it",
        (
            "evicted",
            "evicted_tokens_per_s",
            "model",
            "near",
            "replica",
            "tokens_per_s",
        ),
    ),
    "move_ended": Message(
        _STATE,
        "a move is over; what is resident",
        ("evicted", "model", "near", "replica", "resident"),
    ),
    "name_in_use": Message(
        _STATE, "another instance has the same name", ("name", "other_address")
    ),
    "no_crash": Message(
        _STATE, "a broken connection was no crash", ("server",)
    ),
    "object_api_unavailable": Message(
        _STATE, "the object API did not answer", ("error",)
    ),
    "observed": _note_step("what an engine reported of a copy"),
    "order": Message(
        _STATE,
        "an order to a replica and what came of it",
        (
            "adapter",
            "address",
            "epoch",
            "holder",
            "load",
            "model",
            "order_count",
            "replica",
            "verdict",
        ),
    ),
    "order_reply": _order_step(
        "an engine answered an order, or did not", "reply"
    ),
    "order_sent": _order_step("an order is being sent to an engine"),
    "order_too_old": _order_step(
        "an order was written down too long ago to be sent"
    ),
    "overcharge_refused": Message(
        _STATE,
        "an order was not given: it would overcommit memory",
        ("error",),
    ),
    "owner_says_absent": _step("a claim's owner does not run the call"),
    "owner_says_ran": _step("a claim's owner has the answer"),
    "owner_says_unknown": _step("a claim's owner does not know the outcome"),
    "owner_silent": _step("a claim's owner did not answer"),
    "peer_not_told": Message(
        _STATE, "a peer did not answer in time", ("error", "peer")
    ),
    "peer_says_ran": _step("another instance has the answer"),
    "record": _step("an outcome was recorded with its claim"),
    "repeat_budget_used": Message(
        _REQUEST,
        "a request was not repeated, to keep to the budget",
        ("repeats", "request_id", "requests", "service"),
    ),
    "replay": _step("a recorded answer was given again", "found"),
    "replay_unknown": _step("an unknown outcome was told again", "found"),
    "replica_forgotten": Message(
        _STATE, "an entry was missing for too long", ("replica",)
    ),
    "replica_back": Message(
        _STATE,
        "an entry that had gone is there again",
        ("missing_ms", "replica"),
    ),
    "replica_leaving": Message(
        _STATE, "a replica gets no new requests", ("replica",)
    ),
    "replica_paused": Message(
        _STATE,
        "nothing is sent to a replica for some time",
        ("pause_ms", "reason", "replica"),
    ),
    "replica_seen": Message(
        _STATE,
        "a replica, or a new process of one, is known",
        ("address", "incarnation", "replica", "service"),
    ),
    "replica_trusted": Message(
        _STATE, "a replica that was paused has answered", ("replica",)
    ),
    "replica_vanished": Message(
        _STATE, "an entry is missing", ("leaving", "replica")
    ),
    "report_missing": Message(
        _STATE, "a replica did not report what it holds", ("error", "replica")
    ),
    "request": Message(
        _REQUEST,
        "a request has its final answer",
        (
            "adapter",
            "attempts",
            "duration_ms",
            "method",
            "model",
            "outcome",
            "replica",
            "request_id",
            "route",
            "service",
            "status",
            "took_ms",
        ),
    ),
    "server_answers": _step("a server answered a call"),
    "server_refuses": _step("a server did not run a call"),
    "settings_kept": Message(
        _STATE, "SIGHUP came and the settings made no sense", ("error",)
    ),
    "settings_read": Message(
        _STATE, "SIGHUP came and the settings were read", ("changed",)
    ),
    "shard_lost": Message(
        _STATE, "the lease of a shard was lost", ("deployment", "error")
    ),
    "signal": Message(_STATE, "a signal came", ("number",)),
    "started": Message(_STATE, "the process runs", ("data_centre",)),
    "starting": Message(_STATE, "the process starts", ("address",)),
    "step_not_finished": Message(
        _STATE,
        "a step of control failed and is tried again",
        ("deployment", "error"),
    ),
    "stopped": Message(_STATE, "the process ends", ()),
    "store_history_gone": Message(
        _STATE, "a watch was too far behind; all is listed again", ("kind",)
    ),
    "store_lost": Message(
        _STATE, "the platform's store does not answer", ("error", "kind")
    ),
    "store_regained": Message(
        _STATE, "the platform's store answers again", ("error", "kind")
    ),
    "suspect_cleared": Message(
        _STATE, "a suspect completed", ("fingerprint",)
    ),
    "suspected": Message(
        _STATE,
        "a request was in flight where a server ended, or a member is silent",
        (
            "fingerprint",
            "member",
            "passed_on",
            "replica",
            "request_id",
            "server",
            "standing",
        ),
    ),
    "suspicion_learned": Message(
        _STATE,
        "another instance told of a suspect",
        ("fingerprint", "standing"),
    ),
    "told_leaving": Message(
        _STATE, "a peer says that a server leaves", ("deployment", "replica")
    ),
    "tombstone_removed": Message(
        _STATE,
        "the record of a retired deployment was removed",
        ("deployment", "version"),
    ),
    "tombstones_kept": Message(
        _STATE,
        "records of retired deployments could not be removed",
        ("error",),
    ),
    "unreachable": Message(
        _STATE,
        "replicas that half of the instances cannot connect to",
        ("replicas",),
    ),
    "waited": Message(
        _REQUEST,
        "a wait is over; `reason` is empty when it is held now",
        ("reason", "request_id", "took_ms"),
    ),
    "waiting": Message(
        _REQUEST,
        "no replica known here holds what a request needs",
        ("adapter", "model", "replicas", "request_id", "wait_ms"),
    ),
    "watch_compacted": Message(
        _STATE, "the history that a watch needed is gone", ("cursor",)
    ),
}


def is_about_request(message: str) -> bool:
    """Whether lines of that kind are bounded in number."""
    known = MESSAGES.get(message)
    return known is not None and known.scope is Scope.REQUEST


def markdown() -> str:
    """Return the table for the docs."""
    lines = ["| message | about | meaning | fields |"]
    lines.append("| --- | --- | --- | --- |")
    for name, known in sorted(MESSAGES.items()):
        fields = ", ".join(f"`{field}`" for field in known.fields)
        lines.append(
            f"| `{name}` | {known.scope.value} | {known.meaning} | {fields} |"
        )
    return "\n".join(lines) + "\n"
