"""Data model of the mesh; its objects are replaced and never modified."""

from typing import Any

from hickorythread import utils

# Era of a source that states none.
UNKNOWN_ERA = -1
# No region has this name.
NO_REGION = ""


class Value:
    """Serve as base class of data objects; compares and prints by value."""

    __slots__: tuple[str, ...] = ()

    def values(self) -> list[Any]:
        """Return the fields in order."""
        return [getattr(self, name) for name in self.__slots__]

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and (self.values() == other.values())

    def __repr__(self) -> str:
        shown = ", ".join(
            f"{name}={getattr(self, name)!r:.60}" for name in self.__slots__
        )
        return f"{type(self).__name__}({shown})"


class Position(Value):
    """Tell how far the history of the source is known.

    The source may be restored from an older copy. Its revisions then go back
    and are given out again, and its era rises by one.
    """

    __slots__ = ("era", "revision")

    def __init__(self, era: int, revision: int) -> None:
        self.era = era
        self.revision = revision

    def __lt__(self, other: "Position") -> bool:
        if self.has_era and other.has_era and self.era != other.era:
            return self.era < other.era
        return self.revision < other.revision

    def is_restored_after(self, other: "Position") -> bool:
        """Return whether the source was restored since another position."""
        is_known = other.has_era and other.revision > 0
        return is_known and other.era < self.era

    @property
    def has_era(self) -> bool:
        """Return whether the era is known."""
        return self.era != UNKNOWN_ERA


class Route(Value):
    """Define where requests for one host and path prefix go.

    destinations holds pairs of a service and its weight. Without home regions
    any region may serve the route. Times are in seconds; priority 0 is the
    highest. A public route needs no client account.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "destinations",
        "idempotent",
        "timeout",
        "objective",
        "attempts",
        "priority",
        "home_regions",
        "public",
    )

    def __init__(
        self,
        name: str,
        host: str,
        prefix: str,
        destinations: list[tuple[str, float]],
        idempotent: bool,
        timeout: float,
        objective: float,
        attempts: int,
        priority: int,
        home_regions: list[str],
        public: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.destinations = [(name, weight) for name, weight in destinations]
        self.idempotent = idempotent
        self.timeout = timeout
        self.objective = objective
        self.attempts = attempts
        self.priority = priority
        self.home_regions = home_regions
        self.public = public

    def allows(self, region: str) -> bool:
        """Return whether a region may serve the route."""
        return not self.home_regions or region in self.home_regions

    def pack(self) -> list[Any]:
        """Return the fields in order for a message.

        Nodes of earlier releases do not know public routes.
        """
        values = self.values()
        return values if self.public else values[:-1]

    def for_account(self, account: "Account") -> "Route":
        """Return the route with the priority and the regions of an account."""
        fields = dict(zip(self.__slots__, self.values(), strict=True))
        if account.priority is not None:
            fields["priority"] = account.priority
        regions = account.home_regions
        if regions and self.home_regions:
            regions = [name for name in regions if self.allows(name)]
            # Without a region in common, no region may serve the request.
            fields["home_regions"] = regions or [NO_REGION]
        elif regions:
            fields["home_regions"] = regions
        return Route(**fields)


class Service(Value):
    """Describe the targets of one service.

    For warmup_seconds after its start a target can handle only warmup_rate
    requests per second.
    """

    __slots__ = (
        "name",
        "health_path",
        "connections",
        "warmup_seconds",
        "warmup_rate",
    )

    def __init__(
        self,
        name: str,
        health_path: str,
        connections: int,
        warmup_seconds: float,
        warmup_rate: float,
    ) -> None:
        self.name = name
        self.health_path = health_path
        self.connections = connections
        self.warmup_seconds = warmup_seconds
        self.warmup_rate = warmup_rate


class Account(Value):
    """Describe a client account.

    key_digests identify the keys that its requests carry. Without a priority
    that of the route holds. All hosts together accept rate requests per
    second and burst more at once; a rate of 0 sets no limit. Without home
    regions any region may serve the account.
    """

    __slots__ = (
        "name",
        "key_digests",
        "priority",
        "rate",
        "burst",
        "home_regions",
    )

    def __init__(
        self,
        name: str,
        key_digests: list[bytes],
        priority: int | None,
        rate: float,
        burst: float,
        home_regions: list[str],
    ) -> None:
        self.name = name
        self.key_digests = key_digests
        self.priority = priority
        self.rate = rate
        self.burst = burst
        self.home_regions = home_regions


class Limits(Value):
    """Limit the requests and connections of clients; times are in seconds."""

    __slots__ = ("header_bytes", "body_bytes", "header_time", "idle_time")

    def __init__(
        self,
        header_bytes: int,
        body_bytes: int,
        header_time: float,
        idle_time: float,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_time = header_time
        self.idle_time = idle_time


class Configuration(Value):
    """Hold one version of the complete mesh configuration.

    If accounts is not None, only requests of a client account may use the
    routes that are not public.
    """

    __slots__ = ("version", "routes", "services", "limits", "accounts")

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: dict[str, Service],
        limits: Limits,
        accounts: list[Account] | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.accounts = accounts

    def pack(self) -> list[Any]:
        """Return the configuration as plain lists for a message."""
        packed: list[Any] = [
            self.version,
            [route.pack() for route in self.routes],
            [service.values() for service in self.services.values()],
            self.limits.values(),
        ]
        if self.accounts is not None:
            packed.append([account.values() for account in self.accounts])
        return packed

    @classmethod
    def unpack(cls, values: list[Any]) -> "Configuration":
        """Build a configuration from the result of pack().

        Raises TypeError or ValueError if the values are malformed.
        """
        version, routes, services, limits, *rest = values
        service_list = [Service(*fields) for fields in services]
        accounts = [Account(*fields) for fields in rest[0]] if rest else None
        return cls(
            version,
            [Route(*fields) for fields in routes],
            {service.name: service for service in service_list},
            Limits(*limits),
            accounts,
        )


class Target(Value):
    """Describe one target as it registered itself.

    warmup_seconds is the rest of its warm-up, counted from its last report.
    started_at_ms is the Unix time of its start, 0 if it reports none.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "failure_domain",
        "slots",
        "draining",
        "warmup_seconds",
        "started_at_ms",
    )

    def __init__(
        self,
        id: str,
        service: str,
        address: str,
        failure_domain: str,
        slots: int,
        draining: bool,
        warmup_seconds: float = 0.0,
        started_at_ms: int = 0,
    ) -> None:
        self.id = id
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.draining = draining
        self.warmup_seconds = warmup_seconds
        self.started_at_ms = started_at_ms

    @property
    def host_id(self) -> str:
        """Return the IP address of the host, also the id of its sidecar."""
        return utils.split_address(self.address)[0]

    def as_draining(self) -> "Target":
        """Return this target as one that has announced its end."""
        values = dict(zip(self.__slots__, self.values(), strict=True))
        return Target(**(values | {"draining": True}))
