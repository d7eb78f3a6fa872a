"""Decodes the documents that the operator and targets write to the store."""

import base64
import json
from typing import Any

from hickorythread import http_requests
from hickorythread.mesh import models

DRAINING_BY_PHASE = {"ready": False, "draining": True}
IDEMPOTENT_BY_TYPE = {"idempotent": True, "non_idempotent": False}


class DocumentError(ValueError):
    """Report a document that does not follow the platform's format."""


def decode_value(text: Any) -> Any:
    """Decode the value of an item, JSON in standard base64."""
    if not isinstance(text, str):
        raise DocumentError("value is not a string")
    try:
        return json.loads(base64.b64decode(text, validate=True))
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"value cannot be decoded: {error}") from error


def decode_configuration(document: Any) -> models.Configuration:
    """Decode op/config; raise DocumentError if a field is invalid."""
    try:
        routes = [
            _decode_route(host["host"], entry)
            for host in document["hosts"]
            for entry in host["paths"]
        ]
        services = [_decode_service(entry) for entry in document["services"]]
        limits = document["limits"]
        return models.Configuration(
            int(document["version"]),
            routes,
            {service.name: service for service in services},
            models.Limits(
                int(limits["max_header_bytes"]),
                int(limits["max_body_bytes"]),
                limits["header_timeout_ms"] / 1000.0,
                limits["idle_timeout_ms"] / 1000.0,
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise DocumentError(
            f"invalid configuration: {type(error).__name__}: {error}"
        ) from error


def decode_target(
    target_id: str, document: Any, regions: dict[str, str]
) -> models.Target:
    """Decode servers/ID; raise DocumentError if it is no valid target."""
    if not isinstance(document, dict):
        raise DocumentError("entry is not an object")
    phase = document.get("phase")
    if phase not in DRAINING_BY_PHASE:
        raise DocumentError(f"unknown phase {phase!r:.40}")
    zone = _require_text(document, "zone")
    if zone not in regions:
        raise DocumentError(f"unknown failure domain {zone!r:.40}")
    address = _require_text(document, "address")
    host, _, port = address.rpartition(":")
    if not host or http_requests.parse_count(port) is None:
        raise DocumentError(f"invalid address {address!r:.40}")
    return models.Target(
        target_id,
        _require_text(document, "service"),
        address,
        zone,
        _require_integer(document, "concurrency", 1),
        DRAINING_BY_PHASE[phase],
        _require_integer(document, "warmup_left_ms", 0) / 1000.0,
        # Start time of the process in Unix milliseconds.
        _require_integer(document, "born", 0) if "born" in document else 0,
    )


def _decode_route(host: str, entry: dict[str, Any]) -> models.Route:
    if entry.get("split"):
        destinations = [
            (str(part["service"]), float(part["weight"]))
            for part in entry["split"]
        ]
    else:
        destinations = [(str(entry["service"]), 1.0)]
    return models.Route(
        str(entry["name"]),
        host,
        str(entry["prefix"]),
        destinations,
        IDEMPOTENT_BY_TYPE[entry["type"]],
        entry["timeout_ms"] / 1000.0,
        entry.get("slo_ms", entry["timeout_ms"]) / 1000.0,
        int(entry.get("attempts", 1)),
        int(entry.get("priority", 0)),
        [str(region) for region in entry.get("allowed_regions") or ()],
    )


def _decode_service(entry: dict[str, Any]) -> models.Service:
    return models.Service(
        str(entry["name"]),
        str(entry.get("health_path", "/healthz")),
        int(entry.get("max_conns", 1)),
        float(entry.get("warmup_s", 0.0)),
        float(entry.get("warmup_per_s", 0.0)),
    )


def _require_text(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name} is not a non-empty string")
    return value


def _require_integer(document: dict[str, Any], name: str, minimum: int) -> int:
    value = document.get(name)
    if type(value) is not int or value < minimum:
        raise DocumentError(f"{name} is not an integer in range")
    return value
