"""Settings of one sidecar."""

from collections.abc import Mapping
from typing import Any

import expression

from hickorythread import exceptions
from hickorythread import schemas

DEFAULT_MEMORY_MB = 256.0


class Settings:
    """Hold the validated settings of one sidecar.

    host_id is the IP address of the host, regions maps failure domains to
    their regions, and addresses have the form IP:port. The whole mesh may
    retry the fraction retry_share of the requests for a service, plus
    retry_slack requests, in any retry_window_seconds. A cold target may
    receive, in any second, warmup_rate_factor times its warm-up rate, plus
    warmup_burst requests. The removal of a target must be in force within
    removal_ms. The process is ended from outside if it uses more than
    memory_mb MiB. A key that was withdrawn must be refused after
    revocation_ms on every host, 0 if there is no such bound.
    """

    __slots__ = (
        "name",
        "host_id",
        "failure_domain",
        "regions",
        "service",
        "target_address",
        "request_address",
        "readiness_address",
        "stream_port",
        "metrics_port",
        "source_address",
        "grace_seconds",
        "retry_share",
        "retry_slack",
        "retry_window_seconds",
        "warmup_rate_factor",
        "warmup_burst",
        "removal_ms",
        "memory_mb",
        "revocation_ms",
        "log_level",
    )

    def __init__(
        self,
        host_id: str,
        failure_domain: str,
        regions: Mapping[str, str],
        service: str,
        target_address: str,
        request_address: str,
        readiness_address: str,
        stream_port: int,
        metrics_port: int,
        source_address: str,
        grace_seconds: float,
        retry_share: float,
        retry_slack: float,
        retry_window_seconds: float = 10.0,
        warmup_rate_factor: float = 1.0,
        warmup_burst: float = 2.0,
        removal_ms: float = 2000.0,
        memory_mb: float = DEFAULT_MEMORY_MB,
        revocation_ms: float = 0.0,
        name: str = "",
        log_level: str = "info",
    ) -> None:
        self.name = name or host_id
        self.host_id = host_id
        self.failure_domain = failure_domain
        self.regions = dict(regions)
        self.service = service
        self.target_address = target_address
        self.request_address = request_address
        self.readiness_address = readiness_address
        self.stream_port = stream_port
        self.metrics_port = metrics_port
        self.source_address = source_address
        self.grace_seconds = grace_seconds
        self.retry_share = retry_share
        self.retry_slack = retry_slack
        self.retry_window_seconds = retry_window_seconds
        self.warmup_rate_factor = warmup_rate_factor
        self.warmup_burst = warmup_burst
        self.removal_ms = removal_ms
        self.memory_mb = memory_mb
        self.revocation_ms = revocation_ms
        self.log_level = log_level

    @property
    def region(self) -> str:
        """Return the region of the failure domain."""
        return self.regions.get(self.failure_domain, "")

    def copy_field(self, name: str, other: "Settings") -> None:
        """Copy one setting from other; all users of self see the change."""
        if name == "regions":
            # The planes hold a reference to this map.
            self.regions.clear()
            self.regions.update(other.regions)
        else:
            setattr(self, name, getattr(other, name))

    @classmethod
    def from_config(
        cls, document: Mapping[str, Any]
    ) -> expression.Result["Settings", list[exceptions.Problem]]:
        """Build settings, or return all problems of the document."""
        problems = schemas.check("sidecar", document)
        if problems:
            return expression.Error(problems)
        return expression.Ok(cls(**document))
