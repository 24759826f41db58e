"""The messages of log lines, with their meanings and fields.

``docs/log-messages.md`` has the output of ``markdown``, and a test compares
them. The names of fields end in their unit. Prompts, bodies and headers are
never logged.
"""

from __future__ import annotations

import enum
import typing


class Scope(enum.Enum):
    """What a message is about."""

    # Rate-limited, and dropped before the others when the buffer fills.
    REQUEST = "one request"
    # The state of the process and what it knows of others.
    STATE = "the process"


class Message(typing.NamedTuple):
    """What a log line's message means, and the fields it may have."""

    scope: Scope
    meaning: str
    fields: tuple[str, ...]


_REQUEST = Scope.REQUEST
_STATE = Scope.STATE


def _claim_step(meaning: str, *fields: str) -> Message:
    """Define the message of a step of a claim, named as in specs/claims.py."""
    return Message(_STATE, meaning, tuple(sorted(("claim", "nonce", *fields))))


def _ledger_step(meaning: str, *fields: str) -> Message:
    """Define the message of a step that concerns a replica's ledger."""
    known = ("deployment", "epoch", "replica", *fields)
    return Message(_STATE, meaning, tuple(sorted(known)))


def _reconciliation_step(meaning: str) -> Message:
    """Define the message of a change by what an engine reported."""
    return _ledger_step(meaning, *_COPY_FIELDS, "seen")


def _order_step(meaning: str, *fields: str) -> Message:
    """Define the message of a step of an order to load or unload."""
    return _ledger_step(meaning, *_COPY_FIELDS, "action", "size_mb", *fields)


# Fields that identify a copy of a model or an adapter, and its last order.
_COPY_FIELDS = ("adapter", "fencing_number", "model", "version")
MESSAGES: dict[str, Message] = {
    "account_invalid": Message(
        _STATE,
        "an account of the configuration, or a key of it, takes no effect",
        ("account", "reason"),
    ),
    "accounts_in_force": Message(
        _STATE,
        "the configuration in force has accounts; `problems` counts those,"
        " and keys, that take no effect",
        ("accounts", "problems"),
    ),
    "admitted": Message(
        _REQUEST,
        "a request was assigned a route of a configuration, and an account"
        " if it has one",
        (
            "account",
            "adapter",
            "configuration_version",
            "confirmed_age_ms",
            "last_event_id",
            "left_ms",
            "model",
            "output_tokens",
            "priority",
            "prompt_tokens",
            "relayed_attempts",
            "request_id",
            "resumes",
            "route",
            "service",
        ),
    ),
    "adopted": _reconciliation_step(
        "an engine reported a copy that was not in the ledger; it was added"
    ),
    "another_request": _claim_step(
        "an idempotency key was used for another request before", "found"
    ),
    "answers_not_read": Message(
        _STATE,
        "the process ended before clients had read their responses",
        (),
    ),
    "arrived_late": _reconciliation_step(
        "an order took effect after it had been given up"
    ),
    "attempt": Message(
        _REQUEST,
        "a replica was chosen for a request, and the estimates for it",
        (
            "attempt",
            "call_ms",
            "elsewhere_age_ms",
            "expected_ms",
            "failures",
            "in_flight",
            "in_flight_elsewhere",
            "kv_tokens",
            "kv_tokens_elsewhere",
            "last_event_id",
            "left_ms",
            "limit_per_s",
            "list_age_ms",
            "load",
            "load_age_ms",
            "replica",
            "request_id",
            "service_time_percent",
            "smoothed_percent",
            "software_version",
        ),
    ),
    "attempt_failed": Message(
        _REQUEST,
        "a replica did not serve a request; `why_final` says why it isn't"
        " retried, and is empty if it is",
        (
            "attempt",
            "outcome",
            "reason",
            "rejections",
            "replica",
            "request_id",
            "why_final",
        ),
    ),
    "bad_claim_message": Message(
        _STATE,
        "a peer sent an invalid message about a claim",
        ("error", "peer"),
    ),
    "bad_configuration_page": Message(
        _STATE,
        "a peer sent an invalid page of the configuration",
        ("error", "peer"),
    ),
    "bad_datagram": Message(
        _STATE, "another instance sent an invalid datagram", ("error", "peer")
    ),
    "bad_exchange": Message(
        _STATE, "a peer sent an invalid heartbeat message", ("error", "peer")
    ),
    "bad_instance_list": Message(
        _STATE, "the platform's instance list was invalid", ("error",)
    ),
    "bad_leaving": Message(
        _STATE, "a notice of leaving servers was invalid", ("error",)
    ),
    "bad_memory_report": _ledger_step(
        "an engine's memory report was invalid", "error"
    ),
    "bad_message": Message(
        _STATE, "another instance sent an invalid message", ("error", "path")
    ),
    "bad_relay": Message(
        _STATE,
        "the controller relayed invalid changes of the store",
        ("error",),
    ),
    "bad_report": Message(
        _STATE,
        "an engine's report was invalid",
        ("deployment", "error", "replica"),
    ),
    "bad_report_answer": Message(
        _STATE, "the controller's response to a report was invalid", ("error",)
    ),
    "bad_request": Message(
        _REQUEST,
        "a client sent something that can't be read as a request, too much, or"
        " not in time; it was refused with `status`; up to 10 lines a second",
        ("reason", "status"),
    ),
    "bad_suspicions": Message(
        _STATE, "a peer sent an invalid message about suspicions", ("error",)
    ),
    "bad_want_answer": Message(
        _STATE,
        "the controller's response to a request to load was invalid",
        ("error",),
    ),
    "body_not_taken": Message(
        _REQUEST,
        "a request's body could not be sent completely to a replica",
        ("error", "request_id"),
    ),
    "call_abandoned": _claim_step("a call was abandoned before it was sent"),
    "call_dispatched": _claim_step("a call is being sent to a server"),
    "call_not_permitted": Message(
        _STATE,
        "an order or the fetching of a report was put off, since the replica"
        " limits its rate or wants no requests for a while",
        ("replica", "wait_ms"),
    ),
    "change": Message(
        _STATE,
        "a change of a deployment was accepted or refused",
        ("action", "author", "change_id", "deployment", "outcome"),
    ),
    "charge_kept": _reconciliation_step(
        "a copy is gone; its memory stays charged, as an order may still take"
        " effect"
    ),
    "charge_released": _reconciliation_step(
        "a copy is gone; its memory is no longer charged, as no order can"
        " still take effect"
    ),
    "child_failed": Message(
        _STATE, "a supervised task failed", ("child", "error")
    ),
    "claim_found": _claim_step(
        "a claim of the key exists, without an outcome", "found"
    ),
    "claim_held": _claim_step("a claim was acquired for a call"),
    "claim_lost": Message(
        _STATE,
        "a claim no longer existed when its outcome was to be recorded",
        ("claim", "nonce"),
    ),
    "claim_taken_over": _claim_step(
        "a claim whose call was not run was taken over", "found"
    ),
    "claim_unavailable": _claim_step(
        "a claim could not be written or read", "problem"
    ),
    "claim_unreadable": Message(
        _STATE, "a claim in the object API was invalid", ("claim", "error")
    ),
    "configuration_finding": Message(
        _STATE, "an accepted deployment has an error", ("place", "problem")
    ),
    "clients_refused": Message(
        _STATE,
        "connections of clients were closed, or their requests refused, so"
        " often since the last such line, by cause; with what all connections"
        " hold, and the limits",
        (
            "connections",
            "counts",
            "held_bytes",
            "max_connections",
            "max_held_bytes",
        ),
    ),
    "configuration_in_force": Message(
        _STATE,
        "this instance applied a newer configuration",
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
        _STATE,
        "this instance loaded its first configuration since it started",
        ("revision", "source"),
    ),
    "configuration_older": Message(
        _STATE,
        "a configuration is older than the one in force, and passed over",
        ("version", "version_in_force"),
    ),
    "configuration_unreadable": Message(
        _STATE,
        "a configuration was invalid; the previous one stays in force",
        ("deployment", "error", "version"),
    ),
    "connection_breaks": _claim_step(
        "the connection was lost during a call, which may have run"
    ),
    "controller_reached": Message(
        _STATE,
        "the controller responds, for the first time or again",
        ("controller",),
    ),
    "controller_unreachable": Message(
        _STATE, "the controller did not respond", ("controller", "error")
    ),
    "copy_lost": _reconciliation_step("a copy that was resident is gone"),
    "copy_replaced": Message(
        _STATE,
        "a list of the store's present history replaced a copy of an earlier"
        " one; a configuration in force stays until a newer version",
        ("dropped", "kind", "known_revision", "objects", "revision"),
    ),
    "crash_probe_failed": Message(
        _STATE,
        "a probe did not show whether a server crashed",
        ("error", "server"),
    ),
    "deadline_unclaimed": _claim_step(
        "a deadline passed while another call held the claim"
    ),
    "denied": Message(
        _REQUEST,
        "a request may not run under any account, or this instance's"
        " configuration is too old to decide",
        (
            "configuration_version",
            "confirmed_age_ms",
            "reason",
            "request_id",
            "route",
        ),
    ),
    "drained": Message(_STATE, "draining has ended", ("in_flight",)),
    "draining": Message(
        _STATE,
        "SIGTERM was received; readiness checks now fail",
        ("in_flight",),
    ),
    "engine_restarted": _ledger_step(
        "an engine was restarted and has another boot id", "boot_id"
    ),
    "entry_unreadable": Message(
        _STATE,
        "a replica's entry in the store is invalid, so the replica isn't used;"
        " logged once for each revision",
        ("error", "replica"),
    ),
    "changes_too_large": Message(
        _STATE,
        "changes in the platform's store are too large for one response; all"
        " objects are listed again",
        ("error", "kind"),
    ),
    "foreign_answer": Message(
        _REQUEST,
        "a replica's response to another request was discarded",
        ("replica", "request_id"),
    ),
    "instance_left": Message(
        _STATE,
        "another instance closed its connection before the response",
        ("path",),
    ),
    "instances_known": Message(
        _STATE, "the list of running instances changed", ("instances",)
    ),
    "instance_load": Message(
        _STATE,
        "how late the event loop was at most in the last second, and the"
        " messages of other instances that were answered in it",
        ("late_ms", "messages", "received_bytes", "sent_bytes"),
    ),
    "instance_list_unavailable": Message(
        _STATE, "the platform's instance list could not be read", ("error",)
    ),
    "intent_retired": _reconciliation_step(
        "a copy is resident, as its order intended"
    ),
    "intent_written": _order_step(
        "an order was recorded in the ledger before it is sent",
        "charge_mb",
        "capacity_mb",
    ),
    "internal_error": Message(
        _STATE,
        "an unexpected error in geraniumlink; the request was refused",
        ("claim", "error", "request_id"),
    ),
    "isolated": Message(
        _STATE, "neither the object API nor a peer can be reached", ()
    ),
    "isolation_over": Message(
        _STATE, "the object API or a peer can be reached again", ()
    ),
    "key_expired": _claim_step("an idempotency key is too old to be claimed"),
    "late_write_recognised": Message(
        _STATE,
        "a write whose response was lost had taken effect",
        ("replica",),
    ),
    "lease_lost": Message(
        _STATE,
        "this instance no longer holds a lease; `found_version` is 0 if none"
        " is stored, and left out if it wasn't renewed within its duration",
        (
            "deployment",
            "epoch",
            "found_epoch",
            "found_holder",
            "found_version",
            "held_version",
        ),
    ),
    "lease_not_released": Message(
        _STATE,
        "a lease could not be released; it will expire",
        ("error", "shard"),
    ),
    "lease_released": Message(
        _STATE, "a lease was released", ("deployment", "epoch")
    ),
    "lease_taken": Message(
        _STATE,
        "this instance acquired a lease; `found_epoch` and `found_holder` are"
        " those of the stored one before; `wait` is the time that it leaves"
        " to former holders: none, guard (interval) or (its) duration",
        (
            "deployment",
            "epoch",
            "found_epoch",
            "found_holder",
            "version",
            "wait",
        ),
    ),
    "lease_unavailable": Message(
        _STATE, "the lease could not be read or renewed", ("error",)
    ),
    "lease_unreadable": Message(
        _STATE, "a lease was invalid", ("error", "shard")
    ),
    "leaving": Message(
        _STATE,
        "a backend server reported that it is leaving",
        ("deployment", "replica"),
    ),
    "ledger_claimed": _ledger_step(
        "the ledger of a replica was taken over", "charge_mb"
    ),
    "ledger_unreadable": Message(
        _STATE,
        "a ledger was invalid; its replica gets no orders",
        ("findings", "replica", "version"),
    ),
    "lines_left_out": Message(
        _STATE,
        "numbers of log lines dropped since the last such line, by message",
        ("counts",),
    ),
    "listed_as_leaving": Message(
        _STATE,
        "the instance list began or ceased to list a server as leaving",
        ("deployment", "leaving", "replica"),
    ),
    "move": Message(
        _STATE,
        "a model will be loaded on a replica; `evicted` is unloaded first",
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
        "a move has ended; `resident` lists the replica's models",
        ("evicted", "model", "near", "replica", "resident"),
    ),
    "name_in_use": Message(
        _STATE, "another instance has the same name", ("name", "other_address")
    ),
    "no_crash": Message(
        _STATE,
        "a connection was lost, but its server did not crash",
        ("server",),
    ),
    "object_api_unavailable": Message(
        _STATE,
        "the object API could not be reached or responded with an error",
        ("error",),
    ),
    "object_unreadable": Message(
        _STATE,
        "an object in the platform's store can't be read and counts as"
        " invalid, or is left out if it has no valid name and revision; logged"
        " once for each revision",
        ("error", "kind", "name", "revision"),
    ),
    "objects_left_out": Message(
        _STATE,
        "objects in the platform's store are not used, as all that are kept"
        " of their kind would need too much memory; those of no configured"
        " service and the largest are left out first",
        ("count", "held_bytes", "kind", "objects"),
    ),
    "observed": _reconciliation_step("an engine reported the state of a copy"),
    "objects_not_refreshed": Message(
        _STATE,
        "the store's present changes can't be read; what is known of the"
        " objects may be old",
        ("error", "kind"),
    ),
    "order": Message(
        _STATE,
        "an order to a replica ended with `verdict`; `written_after_ms` is"
        " null if it was not written, and one that is UNKNOWN was withdrawn",
        (
            "adapter",
            "address",
            "epoch",
            "holder",
            "load",
            "model",
            "order_count",
            "replica",
            "took_ms",
            "verdict",
            "written_after_ms",
        ),
    ),
    "order_reply": _order_step(
        "an engine responded to an order, or did not in time", "reply"
    ),
    "order_sent": _order_step("an order is being sent to an engine"),
    "order_too_old": _order_step(
        "an order was recorded too long ago to be sent"
    ),
    "part_blocked": Message(
        _STATE,
        "requests whose prompts have all of these `parts` are refused:"
        " as many replicas as `crashes` crashed while they started on them",
        ("crashes", "parts"),
    ),
    "part_tried": Message(
        _STATE,
        "one request with blocked `parts` of a prompt is let through",
        ("parts",),
    ),
    "part_unblocked": Message(
        _STATE,
        "requests with these `parts` are no longer refused, or other parts"
        " are to blame",
        ("crashes", "parts"),
    ),
    "overcharge_refused": Message(
        _STATE,
        "an order was not recorded, as it would overcommit memory",
        ("error",),
    ),
    "owner_says_absent": _claim_step(
        "a claim's owner is not running the call"
    ),
    "owner_says_ran": _claim_step("a claim's owner has the call's result"),
    "owner_says_unknown": _claim_step(
        "a claim's owner does not know the outcome"
    ),
    "owner_silent": _claim_step("a claim's owner did not respond"),
    "passed_on": Message(
        _REQUEST,
        "a request was passed on to another instance, since no replica can be"
        " reached from here",
        ("attempt", "last_event_id", "left_ms", "peer", "request_id"),
    ),
    "path_back": Message(
        _STATE,
        "replicas can be reached again after `lost_ms`",
        ("lost_ms",),
    ),
    "path_lost": Message(
        _STATE,
        "none of several replicas accepted a connection: this instance has no"
        " path to any",
        ("probes", "silent_ms"),
    ),
    "permit": Message(
        _REQUEST,
        "a permit to send a request to a replica that limits its rate was"
        " granted, to be used in `wait_ms`, or denied until then",
        (
            "granted",
            "limit_per_s",
            "replica",
            "request_id",
            "took_ms",
            "wait_ms",
        ),
    ),
    "permits_missing": Message(
        _STATE,
        "the controller did not answer when asked for a permit",
        ("controller",),
    ),
    "peer_not_told": Message(
        _STATE,
        "a peer could not be reached or did not respond in time",
        ("error", "peer"),
    ),
    "peer_says_ran": _claim_step("another instance has the call's result"),
    "quota_charged": Message(
        _REQUEST,
        "a request was refused as its account's quota is used up, or was"
        " admitted without the quota's issuer; `level` is what is left",
        (
            "account",
            "account_per_s",
            "burst",
            "cost",
            "granted",
            "issuer",
            "level",
            "quota_per_s",
            "reported_age_ms",
            "request_id",
            "share",
            "source",
            "took_ms",
            "wait_ms",
        ),
    ),
    "quota_issuer_silent": Message(
        _STATE,
        "an issuer of quotas did not answer, and isn't asked for a while",
        ("issuer", "missing"),
    ),
    "quota_issuers": Message(
        _STATE,
        "the instances that issue quotas, by rows of accounts, have changed",
        ("backups", "epoch", "issuers", "serial"),
    ),
    "record": _claim_step("an outcome was recorded with its claim"),
    "relay_behind": Message(
        _STATE,
        "the controller relays changes that end before those known here; they"
        " are passed over",
        ("kind", "known_revision", "revision"),
    ),
    "repeat_budget_used": Message(
        _REQUEST,
        "a request was not retried, because the retry budget is used up",
        ("repeats", "request_id", "requests", "service"),
    ),
    "replay": _claim_step("a recorded result was returned again", "found"),
    "replay_unknown": _claim_step(
        "a recorded unknown outcome was returned again", "found"
    ),
    "replica_brittle": Message(
        _STATE,
        "a replica stated that it fails if it rejects more requests a second,"
        " or no longer states it",
        ("max_rejections", "previous", "replica"),
    ),
    "replica_forgotten": Message(
        _STATE,
        "a replica's entry was missing for too long; the replica was removed",
        ("replica",),
    ),
    "replica_backs_off": Message(
        _STATE,
        "a replica turned a request away, and gets no requests from this"
        " instance for `pause_ms`",
        ("pause_ms", "replica"),
    ),
    "replica_back": Message(
        _STATE,
        "a replica's entry that was missing exists again",
        ("missing_ms", "replica"),
    ),
    "replica_leaving": Message(
        _STATE, "a replica gets no new requests", ("replica",)
    ),
    "replica_limit": Message(
        _STATE,
        "a replica stated another limit of requests a second, or none",
        ("is_own", "per_s", "previous_per_s", "replica"),
    ),
    "replica_paused": Message(
        _STATE,
        "no requests are sent to a replica for `pause_ms`",
        ("pause_ms", "reason", "replica"),
    ),
    "replica_seen": Message(
        _STATE,
        "a new replica, or a new process of one, was registered",
        ("address", "incarnation", "replica", "service", "software_version"),
    ),
    "replica_stays": Message(
        _STATE,
        "a replica takes back that it leaves, and gets requests again",
        ("replica",),
    ),
    "replica_trusted": Message(
        _STATE,
        "a paused replica responded; requests are sent to it again",
        ("replica",),
    ),
    "replica_vanished": Message(
        _STATE, "a replica's entry is missing", ("leaving", "replica")
    ),
    "report_missing": Message(
        _STATE,
        "a replica's report of what it holds could not be read",
        ("error", "replica"),
    ),
    "request": Message(
        _REQUEST,
        "a request ended",
        (
            "account",
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
    "requests_dropped": Message(
        _REQUEST,
        "a client's connection ended while whole requests waited behind"
        " another one; `response_complete` says whether that one had its"
        " whole response",
        ("requests", "response_complete"),
    ),
    "server_answers": _claim_step("a server returned the result of a call"),
    "server_refuses": _claim_step("a server did not run a call"),
    "settings_kept": Message(
        _STATE,
        "SIGHUP was received; the settings were invalid and the former stay",
        ("error",),
    ),
    "settings_read": Message(
        _STATE,
        "SIGHUP was received and the settings were reloaded",
        ("changed",),
    ),
    "shard_lost": Message(
        _STATE,
        "control of a shard ended: another instance changed its ledger",
        ("deployment", "error"),
    ),
    "signal": Message(_STATE, "a signal was received", ("number",)),
    "started": Message(_STATE, "the process has started", ("data_centre",)),
    "starting": Message(_STATE, "the process is starting", ("address",)),
    "step_not_finished": Message(
        _STATE,
        "a control step failed and will be retried",
        ("deployment", "error"),
    ),
    "stopped": Message(_STATE, "the process is ending", ()),
    "store_history_gone": Message(
        _STATE,
        "a watch was too far behind; all objects are listed again",
        ("kind",),
    ),
    "store_history_changed": Message(
        _STATE,
        "the platform's store goes on from other contents than before, as its"
        " era, a revision below one known here or the controller's copy shows;"
        " all objects are listed again, and relayed changes are passed over"
        " for a time",
        ("era", "evidence", "known_era", "known_revision", "revision"),
    ),
    "store_lost": Message(
        _STATE, "the platform's store does not respond", ("error", "kind")
    ),
    "store_regained": Message(
        _STATE, "the platform's store responds again", ("error", "kind")
    ),
    "stream_ended": Message(
        _REQUEST,
        "a replica's stream ended in a way that may hide a break:"
        " unmarked by length or chunks, or inside an event",
        (
            "framing",
            "last_event_id",
            "partial_bytes",
            "replica",
            "request_id",
        ),
    ),
    "stream_origins_not_read": Message(
        _STATE,
        "the store's record of how streams began can't be read; a stream that"
        " no instance knows is not continued",
        ("error",),
    ),
    "stream_origins_not_written": Message(
        _STATE,
        "the record of how streams began may not have been written; that is"
        " tried again",
        ("error",),
    ),
    "stream_origins_unreadable": Message(
        _STATE,
        "a part of the record of how streams began is left out",
        ("error",),
    ),
    "stream_resumed": Message(
        _REQUEST,
        "a client resumes a stream; `software_version` is null if it isn't"
        " known, so that no replica may continue it",
        (
            "request_id",
            "resumes",
            "service",
            "software_version",
            "source",
            "took_ms",
        ),
    ),
    "suspect_cleared": Message(
        _STATE,
        "a suspected request completed, which clears it",
        ("fingerprint",),
    ),
    "suspected": Message(
        _STATE,
        "a request was in flight on a server when it crashed, or another"
        " instance (`member`) does not respond",
        (
            "fingerprint",
            "member",
            "parts",
            "passed_on",
            "replica",
            "request_id",
            "server",
            "standing",
        ),
    ),
    "suspicion_learned": Message(
        _STATE,
        "another instance's message changed the standing of a request",
        ("fingerprint", "standing"),
    ),
    "told_leaving": Message(
        _STATE,
        "a peer reported that a server is leaving",
        ("deployment", "replica"),
    ),
    "tombstone_removed": Message(
        _STATE,
        "the record of a retired deployment was removed",
        ("deployment", "version"),
    ),
    "tombstones_kept": Message(
        _STATE,
        "records of retired deployments could not be removed; a later run"
        " retries",
        ("error",),
    ),
    "unfinished": Message(
        _REQUEST,
        "a request ended without a complete response; `reason` is why, and"
        " `status` null if none had begun",
        (
            "attempts",
            "last_event_id",
            "reason",
            "replica",
            "request_id",
            "status",
        ),
    ),
    "unreachable": Message(
        _STATE,
        "replicas that half of the instances cannot connect to",
        ("replicas",),
    ),
    "waited": Message(
        _REQUEST,
        "a wait for a replica ended; `reason` says why the request is refused,"
        " and is empty if a replica can serve it",
        ("reason", "request_id", "took_ms"),
    ),
    "version_history_not_written": Message(
        _STATE,
        "the record of the services' software versions may not have been"
        " written; that is tried again",
        ("error",),
    ),
    "version_history_unreadable": Message(
        _STATE,
        "the record of the services' software versions is left out",
        ("error",),
    ),
    "versions_surveyed": Message(
        _STATE,
        "whether one software version of a service serves alone, by what"
        " other instances (`asked`, `answered`) and the store have seen;"
        " `software_version` is null if not, or if it isn't known, and"
        " `store_answered` if the store wasn't read",
        (
            "answered",
            "asked",
            "service",
            "software_version",
            "store_answered",
            "took_ms",
            "versions",
        ),
    ),
    "waiting": Message(
        _REQUEST,
        "a request waits: no known replica holds what it needs",
        ("adapter", "model", "replicas", "request_id", "wait_ms"),
    ),
    "warm_up_began": Message(
        _STATE,
        "a replica started or recovered; `share` is that of the requests for"
        " which it is considered",
        ("replica", "share"),
    ),
    "warm_up_ended": Message(
        _STATE,
        "a replica that started or recovered gets requests like others",
        ("replica", "share", "took_ms"),
    ),
    "warm_up_share": Message(
        _STATE,
        "a replica that started or recovered is considered for another share"
        " of the requests, by how they ended in the last `window_ms` there,"
        " and in the last second at the others of its service",
        (
            "in_time",
            "missed",
            "others_in_time",
            "others_missed",
            "previous",
            "replica",
            "service_time_percent",
            "share",
            "window_ms",
        ),
    ),
    "watch_compacted": Message(
        _STATE,
        "the object API no longer has the changes that a watch needs; all"
        " objects are listed again",
        ("cursor",),
    ),
}


def is_about_request(message: str) -> bool:
    """Whether lines with this message are about one request."""
    known = MESSAGES.get(message)
    return known is not None and known.scope is Scope.REQUEST


def markdown() -> str:
    """Return the table of messages in ``docs/log-messages.md``."""
    lines = ["| message | about | meaning | fields |"]
    lines.append("| --- | --- | --- | --- |")
    for name, known in sorted(MESSAGES.items()):
        fields = ", ".join(f"`{field}`" for field in known.fields)
        lines.append(
            f"| `{name}` | {known.scope.value} | {known.meaning} | {fields} |"
        )
    return "\n".join(lines) + "\n"
