"""Data models of configurations, patches, log entries and hosts."""

from collections.abc import Mapping
from typing import Any

Document = dict[str, Any]


class Service:
    """Describe a service and the capacity of each of its targets.

    slots is the number of requests that a target runs concurrently and
    connections the number of connections that it accepts. ramp_seconds is
    how long a restarted target takes to reach its full concurrency.
    """

    __slots__ = (
        "name",
        "slots",
        "connections",
        "connect_ms",
        "ramp_seconds",
    )

    def __init__(
        self,
        name: str,
        slots: int,
        connections: int,
        connect_ms: float = 1.0,
        ramp_seconds: float = 10.0,
    ) -> None:
        self.name = name
        self.slots = slots
        self.connections = connections
        self.connect_ms = connect_ms
        self.ramp_seconds = ramp_seconds

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "Service":
        """Build a service from a validated document."""
        return cls(
            document["name"],
            document["slots"],
            document["connections"],
            document.get("connect_ms", 1.0),
            document.get("ramp_seconds", 10.0),
        )

    def to_document(self) -> Document:
        """Return a document with its keys in a fixed order."""
        return {name: getattr(self, name) for name in self.__slots__}


class Route:
    """Map requests to a service and the policies for them."""

    __slots__ = (
        "name",
        "service",
        "path_prefix",
        "methods",
        "idempotent",
        "priority",
        "deadline_ms",
        "retry",
        "tenants",
        "home_regions",
    )

    def __init__(
        self,
        name: str,
        service: str,
        path_prefix: str,
        methods: tuple[str, ...] = ("GET",),
        idempotent: bool = True,
        priority: str = "read",
        deadline_ms: int = 2000,
        retry: bool = True,
        tenants: tuple[str, ...] = (),
        home_regions: tuple[str, ...] = (),
    ) -> None:
        self.name = name
        self.service = service
        self.path_prefix = path_prefix
        self.methods = methods
        self.idempotent = idempotent
        self.priority = priority
        self.deadline_ms = deadline_ms
        self.retry = retry
        self.tenants = tenants
        self.home_regions = home_regions

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "Route":
        """Build a route from a validated document."""
        return cls(
            document["name"],
            document["service"],
            document["path_prefix"],
            tuple(document.get("methods", ("GET",))),
            document.get("idempotent", True),
            document.get("priority", "read"),
            document.get("deadline_ms", 2000),
            document.get("retry", True),
            tuple(document.get("tenants", ())),
            tuple(document.get("home_regions", ())),
        )

    def to_document(self) -> Document:
        """Return a document with its keys in a fixed order."""
        document = {name: getattr(self, name) for name in self.__slots__}
        for name in ("methods", "tenants", "home_regions"):
            document[name] = list(document[name])
        return document


class Tenant:
    """Describe a client account, its weight in queues and its home regions.

    Patches, snapshots and error messages call a client account a tenant.
    """

    __slots__ = ("name", "home_regions", "weight")

    def __init__(
        self,
        name: str,
        home_regions: tuple[str, ...] = (),
        weight: int = 1,
    ) -> None:
        self.name = name
        self.home_regions = home_regions
        self.weight = weight

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "Tenant":
        """Build a client account from a validated document."""
        return cls(
            document["name"],
            tuple(document.get("home_regions", ())),
            document.get("weight", 1),
        )

    def to_document(self) -> Document:
        """Return a document with its keys in a fixed order."""
        return {
            "name": self.name,
            "home_regions": list(self.home_regions),
            "weight": self.weight,
        }


class FailureDomain:
    """Describe a failure domain and whether it accepts new requests."""

    __slots__ = ("name", "region", "state", "changed_version")

    def __init__(
        self,
        name: str,
        region: str,
        state: str = "in",
        changed_version: int = 0,
    ) -> None:
        self.name = name
        self.region = region
        self.state = state
        self.changed_version = changed_version

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "FailureDomain":
        """Build a failure domain from a validated document."""
        return cls(
            document["name"],
            document["region"],
            document.get("state", "in"),
            document.get("changed_version", 0),
        )

    def to_document(self) -> Document:
        """Return a document with its keys in a fixed order."""
        return {name: getattr(self, name) for name in self.__slots__}


class Configuration:
    """Hold an immutable version of the mesh configuration.

    The maps are keyed by name and are not changed after construction.
    """

    __slots__ = (
        "version",
        "rules",
        "previous_digest",
        "digest",
        "services",
        "routes",
        "tenants",
        "failure_domains",
    )

    def __init__(
        self,
        version: int,
        rules: int,
        previous_digest: bytes,
        digest: bytes,
        services: Mapping[str, Service],
        routes: Mapping[str, Route],
        tenants: Mapping[str, Tenant],
        failure_domains: Mapping[str, FailureDomain],
    ) -> None:
        self.version = version
        self.rules = rules
        self.previous_digest = previous_digest
        self.digest = digest
        self.services = services
        self.routes = routes
        self.tenants = tenants
        self.failure_domains = failure_domains

    def content(self) -> Document:
        """Return the document without the digests."""
        return {
            "version": self.version,
            "rules": self.rules,
            "services": _sorted_documents(self.services),
            "routes": _sorted_documents(self.routes),
            "tenants": _sorted_documents(self.tenants),
            "failure_domains": _sorted_documents(self.failure_domains),
        }


class Operation:
    """Hold one operation of a patch and its value."""

    __slots__ = ("op", "value")

    def __init__(self, op: str, value: Any) -> None:
        self.op = op
        self.value = value


class Patch:
    """Hold the operations of an operator and the version they are based on."""

    __slots__ = ("id", "base", "operations")

    def __init__(
        self, id: str, base: int, operations: tuple[Operation, ...]
    ) -> None:
        self.id = id
        self.base = base
        self.operations = operations

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "Patch":
        """Build a patch from a validated document."""
        operations = tuple(
            Operation(item["op"], item["value"])
            for item in document["operations"]
        )
        return cls(document["id"], document["base"], operations)

    def to_document(self) -> Document:
        """Return a document with its keys in a fixed order."""
        return {
            "id": self.id,
            "base": self.base,
            "operations": [
                {"op": item.op, "value": item.value}
                for item in self.operations
            ],
        }


class LogEntry:
    """Hold a published patch document and its sequence number in the log.

    The patch is not validated here; every node does so when it applies the
    entry, with the same result.
    """

    __slots__ = ("sequence", "published_at_ms", "patch")

    def __init__(
        self, sequence: int, published_at_ms: int, patch: Document
    ) -> None:
        self.sequence = sequence
        self.published_at_ms = published_at_ms
        self.patch = patch

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "LogEntry":
        """Build an entry from the platform's document."""
        return cls(
            document["sequence"],
            document["published_at_ms"],
            document["patch"],
        )

    def to_document(self) -> Document:
        """Return a document with its keys in a fixed order."""
        return {name: getattr(self, name) for name in self.__slots__}


class Host:
    """Describe a host in the platform's host list."""

    __slots__ = (
        "id",
        "region",
        "failure_domain",
        "service",
        "stream_address",
        "http_address",
        "state",
    )

    def __init__(
        self,
        id: str,
        region: str,
        failure_domain: str,
        service: str,
        stream_address: str,
        http_address: str = "",
        state: str = "live",
    ) -> None:
        self.id = id
        self.region = region
        self.failure_domain = failure_domain
        self.service = service
        self.stream_address = stream_address
        self.http_address = http_address
        self.state = state

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> "Host":
        """Build a host from the platform's document."""
        return cls(
            document["id"],
            document["region"],
            document["failure_domain"],
            document["service"],
            document["stream_address"],
            document.get("http_address", ""),
            document.get("state", "live"),
        )

    def to_document(self) -> Document:
        """Return a document with its keys in a fixed order."""
        return {name: getattr(self, name) for name in self.__slots__}


class Position:
    """Hold a position in a replicated log and the state after it."""

    __slots__ = ("sequence", "version", "digest")

    def __init__(self, sequence: int, version: int, digest: bytes) -> None:
        self.sequence = sequence
        self.version = version
        self.digest = digest

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Position) and (
            self.sequence,
            self.version,
            self.digest,
        ) == (other.sequence, other.version, other.digest)

    def __hash__(self) -> int:
        return hash((self.sequence, self.version, self.digest))

    def __repr__(self) -> str:
        return (
            f"Position({self.sequence}, {self.version}, "
            f"{self.digest.hex()[:12]})"
        )


def _sorted_documents(items: Mapping[str, Any]) -> list[Document]:
    return [items[name].to_document() for name in sorted(items)]
