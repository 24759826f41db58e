"""Answers the Operator service."""

from __future__ import annotations

import typing

import expression

from geraniumlink import _backends
from geraniumlink import _changes
from geraniumlink import _charges
from geraniumlink import _clock
from geraniumlink import _configuration
from geraniumlink import _declarations
from geraniumlink import _findings
from geraniumlink import _membership
from geraniumlink import _objects
from geraniumlink import _refusals
from geraniumlink._schema import geraniumlink_pb2 as pb

DEFAULT_HISTORY = 50
Result = expression.Result[typing.Any, _refusals.Refusal]


class Operator:
    """What operators ask, each method as the schema describes it."""

    def __init__(
        self,
        configuration: _configuration.Configuration,
        changes: _changes.Changes,
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
        self._charges = _charges.Charges(objects, clock)

    async def apply(self, request: pb.ApplyRequest, _: str) -> Result:
        findings = self._check(request.deployment)
        _declarations.check_change(request.change_id, request.author, findings)
        return await self._accept(
            findings,
            _changes.Request(
                request.deployment.name,
                _declarations.to_json(request.deployment),
                request.expected_version,
                request.change_id,
                request.author,
                "apply",
            ),
        )

    async def retire(self, request: pb.RetireRequest, _: str) -> Result:
        findings = _findings.Findings()
        findings.require(
            request.expected_version > 0,
            "expected_version",
            "write the version that is to be retired",
        )
        _declarations.check_change(request.change_id, request.author, findings)
        return await self._accept(
            findings,
            _changes.Request(
                request.name,
                None,
                request.expected_version,
                request.change_id,
                request.author,
                "retire",
            ),
        )

    async def drain(self, request: pb.DrainRequest, _: str) -> Result:
        findings = _findings.Findings()
        _declarations.check_change(request.change_id, request.author, findings)
        entry = self._configuration.get(request.deployment)
        if entry is None or entry.deployment is None:
            return expression.Error(_not_found(request.deployment))
        changed = pb.Deployment()
        changed.CopyFrom(entry.deployment)
        replica = _replica(changed, request.replica)
        if replica is None:
            return expression.Error(
                _not_found(f"{request.deployment}/{request.replica}")
            )
        replica.draining = not request.undo
        return await self._accept(
            findings,
            _changes.Request(
                request.deployment,
                _declarations.to_json(changed),
                request.expected_version,
                request.change_id,
                request.author,
                "undrain" if request.undo else "drain",
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
        answer = pb.ListResponse()
        for deployment in self._configuration.deployments():
            entry = self._configuration.get(deployment.name)
            if entry is not None:
                answer.deployments.add(
                    deployment=deployment, version=entry.version
                )
        return expression.Ok(answer)

    async def diff(self, request: pb.DiffRequest, _: str) -> Result:
        findings = self._check(request.deployment)
        entry = self._configuration.get(request.deployment.name)
        before = entry.deployment if entry else None
        return expression.Ok(
            pb.DiffResponse(
                changes=_declarations.changes(
                    before or pb.Deployment(), request.deployment
                ),
                findings=[
                    pb.Finding(place=found.place, problem=found.problem)
                    for found in findings.all()
                ],
                version=entry.version if entry else 0,
            )
        )

    async def status(self, _: pb.StatusRequest, __: str) -> Result:
        answer = pb.StatusResponse(
            instance=self._membership.own_name,
            version=self._configuration.revision,
            object_api_reachable=self._objects.reachable,
        )
        for member in self._membership.members():
            answer.instances.add(
                name=member.name,
                data_centre=member.data_centre,
                version=member.revision,
                state=member.state,
                age_ms=member.age_ms,
            )
        charges = await self._charges.read()
        for backend in self._backends.all():
            answer.replicas.append(self._replica_status(backend, charges))
        return expression.Ok(answer)

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
            changes = await self._changes.history(request.name)
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
        answer = pb.HistoryResponse()
        for found in changes[: request.limit or DEFAULT_HISTORY]:
            answer.changes.add(
                version=found.version,
                change_id=found.change["change_id"],
                author=found.change["author"],
                instance=found.change["instance"],
                time_ms=found.change["time_ms"],
                action=found.change["action"],
            )
        return expression.Ok(answer)

    def _check(self, deployment: pb.Deployment) -> _findings.Findings:
        findings = _findings.Findings()
        others = self._configuration.deployments()
        _declarations.check(deployment, others, findings)
        return findings

    async def _accept(
        self, findings: _findings.Findings, request: _changes.Request
    ) -> Result:
        if findings:
            return expression.Error(_refusals.invalid(findings))
        outcome = await self._changes.accept(request)
        return outcome.map(
            lambda accepted: pb.ApplyResponse(
                version=accepted.version,
                change_id=request.change_id,
                already_accepted=accepted.already,
            )
        )


def _replica(deployment: pb.Deployment, name: str) -> pb.Replica | None:
    for replica in deployment.replicas:
        if replica.name == name:
            return replica
    return None


def _not_found(name: str) -> _refusals.Refusal:
    return _refusals.Refusal(
        _refusals.Code.NOT_FOUND,
        f"{name!r} is not in force here; Operator.List shows what is",
    )
