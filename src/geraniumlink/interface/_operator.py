"""Handlers of the schema's Operator service."""

from __future__ import annotations

import typing

import expression

from geraniumlink import _clock
from geraniumlink import _findings
from geraniumlink import _objects
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.backends import _backends
from geraniumlink.configuration import _audit
from geraniumlink.configuration import _changes
from geraniumlink.configuration import _configuration
from geraniumlink.configuration import _declarations
from geraniumlink.configuration import _tombstones
from geraniumlink.control import _charges
from geraniumlink.members import _membership
from geraniumlink.requests import _refusals

# How many changes History returns if the request sets no limit, and at most.
DEFAULT_HISTORY_LIMIT = 50
MAX_HISTORY_LIMIT = 1000
Result = expression.Result[typing.Any, _refusals.Refusal]


class OperatorService:
    """Validates and handles operators' requests.

    Each method does what the schema says of the one with its name. Its last
    argument is the request id, which none of them uses.
    """

    def __init__(
        self,
        configuration: _configuration.Configuration,
        changes: _changes.ChangeStore,
        objects: _objects.ObjectApi,
        membership: _membership.Membership,
        backends: _backends.Backends,
        clock: _clock.Clock,
    ) -> None:
        self._configuration = configuration
        self._changes = changes
        self._objects = objects
        self._membership = membership
        self._backends = backends
        self._clock = clock
        self._charges = _charges.ChargeCache(objects, clock)

    async def apply(self, request: pb.ApplyRequest, _: str) -> Result:
        findings = self._validate(request.deployment)
        _declarations.validate_change_metadata(
            request.change_id, request.author, findings
        )
        return await self._submit_change(
            findings,
            _changes.ChangeRequest(
                request.deployment.name,
                _changes.Declare(_declarations.to_json(request.deployment)),
                request.expected_version,
                request.change_id,
                request.author,
            ),
        )

    async def retire(self, request: pb.RetireRequest, _: str) -> Result:
        findings = _findings.Findings()
        findings.require(
            request.expected_version > 0,
            "expected_version",
            "write the version of the deployment to retire",
        )
        _declarations.validate_change_metadata(
            request.change_id, request.author, findings
        )
        return await self._submit_change(
            findings,
            _changes.ChangeRequest(
                request.name,
                _changes.Retire(),
                request.expected_version,
                request.change_id,
                request.author,
            ),
        )

    async def drain(self, request: pb.DrainRequest, _: str) -> Result:
        findings = _findings.Findings()
        _declarations.validate_change_metadata(
            request.change_id, request.author, findings
        )
        return await self._submit_change(
            findings,
            _changes.ChangeRequest(
                request.deployment,
                _changes.Drain(request.replica, request.undo),
                request.expected_version,
                request.change_id,
                request.author,
            ),
        )

    async def get(self, request: pb.GetRequest, _: str) -> Result:
        entry = self._configuration.get(request.name)
        if entry is None:
            return expression.Error(_not_found(request.name))
        return expression.Ok(
            pb.GetResponse(deployment=entry.deployment, version=entry.version)
        )

    async def list(self, _: pb.ListRequest, __: str) -> Result:
        response = pb.ListResponse()
        for deployment in self._configuration.deployments():
            entry = self._configuration.get(deployment.name)
            if entry is not None:
                response.deployments.add(
                    deployment=deployment, version=entry.version
                )
        return expression.Ok(response)

    async def diff(self, request: pb.DiffRequest, _: str) -> Result:
        findings = self._validate(request.deployment)
        entry = self._configuration.get(request.deployment.name)
        current = entry.deployment if entry else None
        return expression.Ok(
            pb.DiffResponse(
                changes=_declarations.diff_deployments(
                    current or pb.Deployment(), request.deployment
                ),
                findings=[
                    pb.Finding(place=found.place, problem=found.problem)
                    for found in findings.all()
                ],
                version=entry.version if entry else 0,
            )
        )

    async def status(self, _: pb.StatusRequest, __: str) -> Result:
        response = pb.StatusResponse(
            instance=self._membership.own_name,
            version=self._configuration.revision,
            object_api_reachable=self._objects.reachable,
        )
        for member in self._membership.members():
            response.instances.add(
                name=member.name,
                data_centre=member.data_centre,
                version=member.revision,
                state=member.state,
                age_ms=member.age_ms,
            )
        charges = await self._charges.read()
        for backend in self._backends.all():
            response.replicas.append(self._replica_status(backend, charges))
        return expression.Ok(response)

    def _replica_status(
        self, backend: _backends.Backend, charges: dict[str, int]
    ) -> pb.ReplicaStatus:
        report = backend.report
        name = f"{backend.key.deployment}.{backend.key.replica}"
        return pb.ReplicaStatus(
            deployment=backend.key.deployment,
            name=backend.key.replica,
            state=backend.state(self._clock.now()),
            in_flight=report.in_flight if report else 0,
            models=sorted(report.resident) if report else (),
            charged_mb=charges.get(name, 0),
            memory_mb=backend.declared.memory_mb,
        )

    async def history(self, request: pb.HistoryRequest, _: str) -> Result:
        try:
            changes = await self._changes.history(
                request.name, _history_limit(request.limit)
            )
        except _audit.UnreadableError as error:
            return expression.Error(
                _refusals.Refusal(
                    _refusals.Code.FAILED_PRECONDITION, str(error)
                )
            )
        except _objects.UnavailableError as error:
            return expression.Error(
                _refusals.Refusal(
                    _refusals.Code.UNAVAILABLE,
                    f"the object API does not answer: {error}",
                    retry_after_ms=_changes.RETRY_AFTER_MS,
                )
            )
        if not changes:
            return expression.Error(_not_found(request.name))
        response = pb.HistoryResponse()
        for found in changes:
            response.changes.add(
                version=found.version,
                change_id=found.change["change_id"],
                author=found.change["author"],
                instance=found.change["instance"],
                time_ms=found.change["time_ms"],
                action=found.change["action"],
            )
        return expression.Ok(response)

    def _validate(self, deployment: pb.Deployment) -> _findings.Findings:
        findings = _findings.Findings()
        others = self._configuration.deployments()
        _declarations.validate_deployment(deployment, others, findings)
        return findings

    async def _submit_change(
        self, findings: _findings.Findings, request: _changes.ChangeRequest
    ) -> Result:
        """Submit a change unless the request was found invalid.

        An accepted retirement also removes tombstones that have expired.
        """
        if findings:
            return expression.Error(_refusals.invalid_argument(findings))
        outcome = await self._changes.accept(request)
        if outcome.is_ok() and isinstance(request.edit, _changes.Retire):
            await _tombstones.try_remove_expired(self._objects, self._clock)
        return outcome.map(
            lambda accepted: pb.ApplyResponse(
                version=accepted.version,
                change_id=request.change_id,
                already_accepted=accepted.already_accepted,
            )
        )


def _history_limit(requested: int) -> int:
    if requested <= 0:
        return DEFAULT_HISTORY_LIMIT
    return min(requested, MAX_HISTORY_LIMIT)


def _not_found(name: str) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.NOT_FOUND,
        f"{name!r} is not in force here; Operator.List shows what is",
    )
