"""Decodes the documents that the operator and targets write to the store."""

import base64
import ipaddress
import json
from typing import Any

from hickorythread import codec
from hickorythread import http_requests
from hickorythread.mesh import models
from hickorythread.platform import accounts

DRAINING_BY_PHASE = {"ready": False, "draining": True}
# Bounds beyond which a value is a mistake of its writer. Peers pack integers
# in 64 bits.
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
MAX_WARMUP_MS = 86_400_000
MAX_UNIX_MS = 1 << 53
MAX_NAME_CHARS = 200
IDEMPOTENT_BY_TYPE = {"idempotent": True, "non_idempotent": False}


class DocumentError(ValueError):
    """Report a document that does not follow the platform's format."""


def decode_value(text: Any) -> Any:
    """Decode the value of an item, JSON in standard base64."""
    if not isinstance(text, str):
        raise DocumentError("value is not a string")
    try:
        data = base64.b64decode(text, validate=True)
        return json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"value cannot be decoded: {error}") from error


def decode_configuration(document: Any) -> models.Configuration:
    """Decode op/config; raise DocumentError if a field is invalid."""
    try:
        routes = [
            _decode_route(_require_text(host, "host"), entry)
            for host in document["hosts"]
            for entry in host["paths"]
        ]
        services = [_decode_service(entry) for entry in document["services"]]
        limits = document["limits"]
        configuration = models.Configuration(
            int(document["version"]),
            routes,
            {service.name: service for service in services},
            models.Limits(
                int(limits["max_header_bytes"]),
                int(limits["max_body_bytes"]),
                limits["header_timeout_ms"] / 1000.0,
                limits["idle_timeout_ms"] / 1000.0,
            ),
            accounts.decode(document),
        )
    except accounts.AccountsError as error:
        raise DocumentError(f"invalid configuration: {error}") from error
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise DocumentError(
            f"invalid configuration: {type(error).__name__}: {error!s:.200}"
        ) from error
    _require_packable(configuration.pack())
    return configuration


def decode_target(
    target_id: str, document: Any, regions: dict[str, str]
) -> models.Target:
    """Decode servers/ID; raise DocumentError if it is no valid target."""
    if not isinstance(document, dict):
        raise DocumentError("entry is not an object")
    phase = document.get("phase")
    if not isinstance(phase, str) or phase not in DRAINING_BY_PHASE:
        raise DocumentError(f"unknown phase {phase!r:.40}")
    zone = _require_text(document, "zone")
    if zone not in regions:
        raise DocumentError(f"unknown failure domain {zone!r:.40}")
    target = models.Target(
        target_id,
        _require_text(document, "service"),
        _require_address(document),
        zone,
        _require_integer(document, "concurrency", 1, MAX_SLOTS),
        DRAINING_BY_PHASE[phase],
        _require_integer(document, "warmup_left_ms", 0, MAX_WARMUP_MS)
        / 1000.0,
        _start_time(document),
    )
    _require_packable(target.values())
    return target


def _start_time(document: dict[str, Any]) -> int:
    """Return the Unix milliseconds of the start, 0 if there are none."""
    if "born" not in document:
        return 0
    return _require_integer(document, "born", 0, MAX_UNIX_MS)


def _refuse_constant(name: str) -> None:
    raise DocumentError(f"{name} is not a number")


def _require_packable(values: Any) -> None:
    """Raise DocumentError if values cannot be sent to peers."""
    try:
        codec.pack(values)
    except (OverflowError, TypeError, ValueError) as error:
        raise DocumentError(f"value out of range: {error!s:.200}") from error


def _require_address(document: dict[str, Any]) -> str:
    """Return an IP address and a port that can be connected to."""
    address = _require_text(document, "address")
    host, _, port_text = address.rpartition(":")
    port = http_requests.parse_count(port_text)
    if port is None or not 0 < port <= MAX_PORT:
        raise DocumentError(f"invalid port in {address!r:.40}")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise DocumentError(f"invalid address {address!r:.40}") from error
    return address


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
        entry.get("public") is True,
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
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARS:
        raise DocumentError(f"{name} is not a string of a valid length")
    return value


def _require_integer(
    document: dict[str, Any], name: str, minimum: int, maximum: int
) -> int:
    value = document.get(name)
    if type(value) is not int or not minimum <= value <= maximum:
        raise DocumentError(f"{name} is not an integer in range")
    return value
