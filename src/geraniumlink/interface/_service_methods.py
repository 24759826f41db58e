"""Maps each method of the schema to its handler."""

from __future__ import annotations

from geraniumlink import _metrics
from geraniumlink._schema import geraniumlink_pb2 as pb
from geraniumlink.interface import _operator
from geraniumlink.interface import _rpc
from geraniumlink.requests import _calls
from geraniumlink.requests import _inference
from geraniumlink.requests import _refusals
from geraniumlink.requests import _streams

_PATH_PREFIX = "/geraniumlink.v1."
# For methods whose clients retry with the same id (a call by its key, a change
# by its change id): an earlier try may have run.
_RETRIED_BY_ID = _refusals.Execution.MAY_HAVE_RUN


def build_method_table(
    inference: _inference.Inference,
    calls: _calls.Calls,
    operator: _operator.OperatorService,
    metrics: _metrics.Metrics,
) -> _rpc.MethodTable:
    """Return the method table, checked against the schema."""
    generation_methods = _GenerationMethods(inference, metrics)
    handlers: _rpc.MethodTable = {
        "Inference/Generate": _rpc.Unary(
            pb.GenerateRequest, generation_methods.generate
        ),
        "Inference/GenerateStream": _rpc.Stream(
            pb.GenerateRequest, generation_methods.generate_stream
        ),
        "Calls/Call": _rpc.Unary(pb.CallRequest, calls.call, _RETRIED_BY_ID),
        "Operator/Apply": _rpc.Unary(
            pb.ApplyRequest, operator.apply, _RETRIED_BY_ID
        ),
        "Operator/Retire": _rpc.Unary(
            pb.RetireRequest, operator.retire, _RETRIED_BY_ID
        ),
        "Operator/Get": _rpc.Unary(pb.GetRequest, operator.get),
        "Operator/List": _rpc.Unary(pb.ListRequest, operator.list),
        "Operator/Diff": _rpc.Unary(pb.DiffRequest, operator.diff),
        "Operator/Status": _rpc.Unary(pb.StatusRequest, operator.status),
        "Operator/History": _rpc.Unary(pb.HistoryRequest, operator.history),
        "Operator/Drain": _rpc.Unary(
            pb.DrainRequest, operator.drain, _RETRIED_BY_ID
        ),
    }
    methods = {
        _PATH_PREFIX + name: method for name, method in handlers.items()
    }
    _rpc.check_methods(methods)
    return methods


class _GenerationMethods:
    """Handles Generate (single response) and GenerateStream (chunks)."""

    def __init__(
        self, inference: _inference.Inference, metrics: _metrics.Metrics
    ) -> None:
        self._inference = inference
        self._metrics = metrics

    async def generate(
        self, request: pb.GenerateRequest, request_id: str
    ) -> _rpc.Result:
        texts: list[str] = []

        async def collect(tokens: _inference.Tokens) -> None:
            texts.extend(tokens.tokens)

        outcome = await self._inference.serve(request, request_id, collect)
        self._count_tokens(request, outcome)
        return outcome.map(
            lambda end: pb.GenerateResponse(
                request_id=request_id,
                text="".join(texts),
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
        self._count_tokens(request, outcome)
        return outcome.map(
            lambda end: pb.GenerateChunk(
                request_id=request_id,
                offset=end.token_count,
                end=pb.End(token_count=end.token_count),
            )
        )

    def _count_tokens(
        self, request: pb.GenerateRequest, outcome: _inference.Outcome
    ) -> None:
        """Add a completed answer's tokens to the metrics; ignore refusals."""
        match outcome:
            case _ if outcome.is_ok():
                end: _streams.End = outcome.ok
                labels = {"model": request.model}
                self._metrics.tokens.add(labels, end.token_count)
