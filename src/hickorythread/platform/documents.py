"""Decode what the operator and the targets write to the store."""

import base64
import json
from typing import Any

from hickorythread.mesh import models

PHASES = {"ready": False, "draining": True}
IDEMPOTENT = {"idempotent": True, "non_idempotent": False}


class DocumentError(ValueError):
    """Report a document that does not follow the platform's format."""


def decode_value(text: Any) -> Any:
    """Decode the value of an item: JSON in standard base64."""
    if not isinstance(text, str):
        raise DocumentError("value is not text")
    try:
        return json.loads(base64.b64decode(text, validate=True))
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"value is unreadable: {error}") from error


def read_configuration(document: Any) -> models.Configuration:
    """Decode op/config; raises DocumentError if a field is unusable."""
    try:
        routes = [
            _read_route(host["host"], entry)
            for host in document["hosts"]
            for entry in host["paths"]
        ]
        services = [_read_service(entry) for entry in document["services"]]
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
            f"configuration: {type(error).__name__}: {error}"
        ) from error


def read_target(
    target_id: str, document: Any, regions: dict[str, str]
) -> models.Target:
    """Decode servers/ID; raises DocumentError if it names no target."""
    if not isinstance(document, dict):
        raise DocumentError("entry is not a map")
    phase = document.get("phase")
    if phase not in PHASES:
        raise DocumentError(f"unknown phase {phase!r:.40}")
    zone = _text(document, "zone")
    if zone not in regions:
        raise DocumentError(f"unknown failure domain {zone!r:.40}")
    address = _text(document, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise DocumentError(f"not an address: {address!r:.40}")
    return models.Target(
        target_id,
        _text(document, "service"),
        address,
        zone,
        _count(document, "concurrency", 1),
        PHASES[phase],
        _count(document, "warmup_left_ms", 0) / 1000.0,
        # Unix milliseconds of the start of the process.
        _count(document, "born", 0) if "born" in document else 0,
    )


def _read_route(host: str, entry: dict[str, Any]) -> models.Route:
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
        IDEMPOTENT[entry["type"]],
        entry["timeout_ms"] / 1000.0,
        entry.get("slo_ms", entry["timeout_ms"]) / 1000.0,
        int(entry.get("attempts", 1)),
        int(entry.get("priority", 0)),
        [str(region) for region in entry.get("allowed_regions") or ()],
    )


def _read_service(entry: dict[str, Any]) -> models.Service:
    return models.Service(
        str(entry["name"]),
        str(entry.get("health_path", "/healthz")),
        int(entry.get("max_conns", 1)),
        float(entry.get("warmup_s", 0.0)),
        float(entry.get("warmup_per_s", 0.0)),
    )


def _text(document: dict[str, Any], name: str) -> str:
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise DocumentError(f"{name} is not text")
    return value


def _count(document: dict[str, Any], name: str, minimum: int) -> int:
    value = document.get(name)
    if type(value) is not int or value < minimum:
        raise DocumentError(f"{name} is not a count")
    return value
