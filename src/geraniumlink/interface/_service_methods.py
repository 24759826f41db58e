"""Binds each method of the schema to the code that answers it."""

from __future__ import annotations

from geraniumlink import _metrics
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.interface import _operator
from geraniumlink.interface import _rpc
from geraniumlink.requests import _calls
from geraniumlink.requests import _inference
from geraniumlink.requests import _refusals
from geraniumlink.requests import _streams

_PACKAGE = "/geraniumlink.v1."
# A call is sent again under its key, a change under its change id.
_SENT_AGAIN = _refusals.Execution.MAY_HAVE_RUN


def build_method_table(
    inference: _inference.Inference,
    calls: _calls.Calls,
    operator: _operator.OperatorService,
    metrics: _metrics.Metrics,
) -> _rpc.MethodTable:
    """Return the method table, checked against the schema."""
    generation = _Generation(inference, metrics)
    table: _rpc.MethodTable = {
        "Inference/Generate": _rpc.Unary(
            pb.GenerateRequest, generation.generate
        ),
        "Inference/GenerateStream": _rpc.Stream(
            pb.GenerateRequest, generation.generate_stream
        ),
        "Calls/Call": _rpc.Unary(pb.CallRequest, calls.call, _SENT_AGAIN),
        "Operator/Apply": _rpc.Unary(
            pb.ApplyRequest, operator.apply, _SENT_AGAIN
        ),
        "Operator/Retire": _rpc.Unary(
            pb.RetireRequest, operator.retire, _SENT_AGAIN
        ),
        "Operator/Get": _rpc.Unary(pb.GetRequest, operator.get),
        "Operator/List": _rpc.Unary(pb.ListRequest, operator.list),
        "Operator/Diff": _rpc.Unary(pb.DiffRequest, operator.diff),
        "Operator/Status": _rpc.Unary(pb.StatusRequest, operator.status),
        "Operator/History": _rpc.Unary(pb.HistoryRequest, operator.history),
        "Operator/Drain": _rpc.Unary(
            pb.DrainRequest, operator.drain, _SENT_AGAIN
        ),
    }
    methods = {_PACKAGE + name: method for name, method in table.items()}
    _rpc.check_methods(methods)
    return methods


class _Generation:
    """The two shapes in which a generated answer is sent."""

    def __init__(
        self, inference: _inference.Inference, metrics: _metrics.Metrics
    ) -> None:
        self._inference = inference
        self._metrics = metrics

    async def generate(
        self, request: pb.GenerateRequest, request_id: str
    ) -> _rpc.Result:
        parts: list[str] = []

        async def keep(tokens: _inference.Tokens) -> None:
            parts.extend(tokens.tokens)

        outcome = await self._inference.serve(request, request_id, keep)
        self._count(request, outcome)
        return outcome.map(
            lambda end: pb.GenerateResponse(
                request_id=request_id,
                text="".join(parts),
                token_count=end.token_count,
            )
        )

    async def generate_stream(
        self,
        request: pb.GenerateRequest,
        request_id: str,
        emit: _rpc.EmitMessage,
    ) -> _rpc.Result:
        async def send(tokens: _inference.Tokens) -> None:
            await emit(
                pb.GenerateChunk(
                    request_id=request_id,
                    offset=tokens.offset,
                    token_count=len(tokens.tokens),
                    text="".join(tokens.tokens),
                )
            )

        outcome = await self._inference.serve(request, request_id, send)
        self._count(request, outcome)
        return outcome.map(
            lambda end: pb.GenerateChunk(
                request_id=request_id,
                offset=end.token_count,
                end=pb.End(token_count=end.token_count),
            )
        )

    def _count(
        self, request: pb.GenerateRequest, outcome: _inference.Outcome
    ) -> None:
        match outcome:
            case _ if outcome.is_ok():
                end: _streams.End = outcome.ok
                labels = {"model": request.model}
                self._metrics.tokens.add(labels, end.token_count)
