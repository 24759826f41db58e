"""Finds the deployment that serves the model of a request."""

from __future__ import annotations

import expression

from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.configuration import _configuration
from geraniumlink.requests import _refusals


def find_deployment(
    configuration: _configuration.Configuration, request: pb.GenerateRequest
) -> expression.Result[pb.Deployment, _refusals.Refusal]:
    """Return the deployment that has the model and the adapter."""
    deployment = configuration.find_model_owner(request.model)
    if deployment is None:
        return _not_found(
            f"no deployment has a model {request.model!r};"
            " Operator.List shows them"
        )
    if not _has_adapter(deployment, request):
        return _not_found(
            f"model {request.model!r} has no adapter {request.adapter!r}"
        )
    return expression.Ok(deployment)


def _has_adapter(
    deployment: pb.Deployment, request: pb.GenerateRequest
) -> bool:
    return not request.adapter or any(
        adapter.model == request.model and adapter.name == request.adapter
        for adapter in deployment.adapters
    )


def _not_found(
    message: str,
) -> expression.Result[pb.Deployment, _refusals.Refusal]:
    return expression.Error(
        _refusals.Refusal(_refusals.Code.NOT_FOUND, message)
    )
