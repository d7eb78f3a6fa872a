"""Settings of a node."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import expression

from hickorythread import exceptions
from hickorythread import schemas


class Settings:
    """Hold the validated settings of a node; all addresses are IP:port.

    upstream_address is the address of the target on the host of the node.
    """

    __slots__ = (
        "host_id",
        "region",
        "failure_domain",
        "service",
        "stream_address",
        "caller_address",
        "operator_address",
        "upstream_address",
        "platform_address",
        "source_region",
        "lease_on_expiry",
        "drain_seconds",
        "log_level",
        "seeds",
    )

    def __init__(
        self,
        host_id: str,
        region: str,
        failure_domain: str,
        service: str,
        stream_address: str,
        caller_address: str,
        operator_address: str,
        upstream_address: str,
        platform_address: str,
        source_region: str,
        lease_on_expiry: str = "refuse",
        drain_seconds: float = 30.0,
        log_level: str = "info",
        seeds: Sequence[str] = (),
    ) -> None:
        self.host_id = host_id
        self.region = region
        self.failure_domain = failure_domain
        self.service = service
        self.stream_address = stream_address
        self.caller_address = caller_address
        self.operator_address = operator_address
        self.upstream_address = upstream_address
        self.platform_address = platform_address
        self.source_region = source_region
        self.lease_on_expiry = lease_on_expiry
        self.drain_seconds = drain_seconds
        self.log_level = log_level
        self.seeds = list(seeds)

    @classmethod
    def from_config(
        cls, document: Mapping[str, Any]
    ) -> expression.Result["Settings", list[exceptions.Problem]]:
        """Build settings from a document, or return all its problems."""
        problems = schemas.check("settings", document)
        if problems:
            return expression.Error(problems)
        return expression.Ok(cls(**document))
