"""Encoding of the records of the configuration streams."""

from typing import Any

import cbor2

from anviltray.declarations import RetryRule, Route, Service, Upstream
from anviltray.messages import (
    RECORD_DECODERS,
    RECORD_TAGS,
    SCHEMA_VERSION,
    ConfigRecord,
    MessageError,
    RetryRuleRecord,
    RouteRecord,
    ServiceRecord,
    UpstreamRecord,
)

STREAM = "configuration"
SNAPSHOT_STREAM = "configuration-snapshots"


class RecordError(ValueError):
    """A record cannot be decoded."""


class NewerSchema(RecordError):
    """A record was written by a newer version of the schema."""


def encode_record(record: ConfigRecord) -> bytes:
    """Encodes a record as the CBOR array [schema version, tag, field, ...]."""
    return cbor2.dumps((SCHEMA_VERSION, RECORD_TAGS[type(record)], *record))


def decode_record(payload: bytes) -> ConfigRecord:
    """Decodes a record; raises RecordError, or NewerSchema if its schema version is newer."""
    try:
        items: Any = cbor2.loads(payload)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise RecordError(f"invalid CBOR: {error}") from error
    if not isinstance(items, list) or len(items) < 2 or type(items[0]) is not int:
        raise RecordError("expected an array that starts with the schema version")
    if items[0] > SCHEMA_VERSION:
        raise NewerSchema(f"schema version {items[0]} is newer than {SCHEMA_VERSION}")
    decoder = RECORD_DECODERS.get(items[1]) if type(items[1]) is int else None
    if items[0] != SCHEMA_VERSION or decoder is None:
        raise RecordError(f"unknown schema version {items[0]} or record tag {items[1]!r}")
    try:
        return decoder(items[2:])
    except MessageError as error:
        raise RecordError(str(error)) from error


def to_record(service: Service) -> ServiceRecord:
    """Converts a service to its record."""
    return ServiceRecord(
        service.name,
        tuple(UpstreamRecord(*upstream) for upstream in service.upstreams),
        tuple(RouteRecord(*route) for route in service.routes),
        service.floor_slots,
        service.floor_share,
        service.sensitivity,
        service.objective_share,
        service.objective_latency_ms,
        tuple(RetryRuleRecord(*rule) for rule in service.retry_rules),
    )


def to_service(record: ServiceRecord) -> Service:
    """Converts a record to its service."""
    return Service(
        record.name,
        tuple(Upstream(*upstream) for upstream in record.upstreams),
        tuple(Route(*route) for route in record.routes),
        record.floor_slots,
        record.floor_share,
        record.sensitivity,
        record.objective_share,
        record.objective_latency_ms,
        tuple(RetryRule(*rule) for rule in record.retry_rules),
    )
