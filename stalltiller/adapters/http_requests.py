"""What the engine and the client are told of a request over HTTP/1.1: pure functions."""

from __future__ import annotations

from http import HTTPMethod

from stalltiller.adapters.http_payload import Payload
from stalltiller.protocol import http
from stalltiller.protocol.platform import RequestInfo
from stalltiller.routing.ports import ClientRequest, ResponseHandler

READY_PATH = "/healthz"
READY_REQUEST_START = b"GET /healthz"


def may_be_health_check(data: memoryview) -> bool:
    """Return whether a request may be one for the initiator's health, by the bytes that have come of it."""
    start = bytes(data[: len(READY_REQUEST_START)])
    return READY_REQUEST_START.startswith(start)


def retry_after_fields(seconds: float) -> dict[str, str] | None:
    """Return the fields of a rejection that may be repeated after some seconds, None for no delay."""
    return {"Retry-After": f"{seconds:.3f}"} if seconds > 0 else None


def build_client_request(
    head: http.Head, body: bytearray, request_info: RequestInfo, response_handler: ResponseHandler
) -> ClientRequest:
    """Return the engine's request for one that has come with a valid head."""
    request_id = head.fields["x-request-id"]
    payload = Payload(
        method=head.method,
        target=head.target,
        request_id=request_id,
        host=head.fields.get("host", "localhost"),
        body=body,
        deduplication_key=head.fields.get("idempotency-key"),
    )
    return ClientRequest(
        class_index=request_info.class_index,
        plan_index=request_info.plan_index,
        volume=request_info.volume,
        units=request_info.units,
        volume_initiator_count=request_info.volume_initiator_count,
        idempotency_key=request_info.idempotency_key,
        shard=request_info.shard,
        is_write=head.method == HTTPMethod.PUT,
        is_retry=request_info.is_retry,
        timeout=request_info.timeout,
        payload=payload,
        response_handler=response_handler,
        trace_label=request_id,
    )
