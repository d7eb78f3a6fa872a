"""Builders of patches, log entries, configurations and hosts for tests."""

from typing import Any

from hickorythread import acceptance
from hickorythread import models

REGIONS = {
    "launceston": "north-tas",
    "devonport": "north-tas",
    "hobart": "south-tas",
    "kingston": "south-tas",
}


def operation(op: str, value: Any) -> dict[str, Any]:
    return {"op": op, "value": value}


def patch(
    base: int, *operations: dict[str, Any], id: str = "p1"
) -> dict[str, Any]:
    return {"id": id, "base": base, "operations": list(operations)}


def entry(
    sequence: int, base: int, *operations: dict[str, Any]
) -> models.LogEntry:
    document = patch(base, *operations, id=f"p{sequence}")
    return models.LogEntry(sequence, sequence * 1000, document)


def service(name: str = "spec-desk", **overrides: Any) -> dict[str, Any]:
    return {"name": name, "slots": 12, "connections": 120} | overrides


def route(
    name: str = "specs", service: str = "spec-desk", **overrides: Any
) -> dict[str, Any]:
    defaults = {"name": name, "service": service, "path_prefix": f"/{name}"}
    return defaults | overrides


def domain_state(name: str, state: str) -> dict[str, Any]:
    return operation(
        "set_failure_domain_state", {"name": name, "state": state}
    )


def guild_operations() -> list[dict[str, Any]]:
    domains = [
        operation("put_failure_domain", {"name": name, "region": region})
        for name, region in REGIONS.items()
    ]
    write_policy = {
        "idempotent": False,
        "retry": False,
        "priority": "write",
        "methods": ["POST"],
    }
    return domains + [
        operation("put_service", service("spec-desk")),
        operation("put_service", service("commission-desk")),
        operation("put_service", service("kiln-desk")),
        operation("put_tenant", {"name": "builders"}),
        operation("put_route", route("specs", "spec-desk")),
        operation(
            "put_route",
            route("commissions", "commission-desk", **write_policy),
        ),
        operation("put_route", route("kilns", "kiln-desk", **write_policy)),
    ]


def guild_configuration() -> models.Configuration:
    log_entry = entry(1, 0, *guild_operations())
    return acceptance.accept(acceptance.empty_configuration(), log_entry).ok


def host(
    id: str = "spec-desk-1",
    domain: str = "launceston",
    service: str = "spec-desk",
    **overrides: Any,
) -> models.Host:
    defaults = {
        "id": id,
        "region": REGIONS[domain],
        "failure_domain": domain,
        "service": service,
        "stream_address": "127.0.0.1:1",
    }
    return models.Host.from_config(defaults | overrides)
