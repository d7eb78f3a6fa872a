"""Match requests to routes, client accounts and home regions."""

import functools

import expression

from hickorythread import events
from hickorythread import exceptions
from hickorythread import models

MAX_CACHED_MATCHES = 4096


class RouteMatch:
    """Hold the route of a request and the rules that apply to it.

    tenant is the name of the client account. home_regions is None if every
    region may serve the request.
    """

    __slots__ = ("route", "service", "tenant", "weight", "home_regions")

    def __init__(
        self,
        route: models.Route,
        service: models.Service,
        tenant: str,
        weight: int,
        home_regions: frozenset[str] | None,
    ) -> None:
        self.route = route
        self.service = service
        self.tenant = tenant
        self.weight = weight
        self.home_regions = home_regions

    def allows(self, region: str) -> bool:
        """Return whether the region may serve and store the request."""
        return self.home_regions is None or region in self.home_regions

    def is_still_allowed(
        self, region: str, configuration: models.Configuration
    ) -> bool:
        """Return whether another configuration lets the region store it."""
        route = configuration.routes.get(self.route.name, self.route)
        homes = _home_regions(route, configuration.tenants.get(self.tenant))
        return homes is None or region in homes


MatchResult = expression.Result[RouteMatch, exceptions.Refusal]


class RouteIndex:
    """Index the routes by path prefix; built per configuration."""

    __slots__ = ("configuration", "by_prefix", "max_prefix_length", "matches")

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration
        self.by_prefix: dict[str, dict[str, models.Route]] = {}
        for name in sorted(configuration.routes):
            route = configuration.routes[name]
            methods = self.by_prefix.setdefault(route.path_prefix, {})
            for method in route.methods:
                methods.setdefault(method, route)
        self.max_prefix_length = max(map(len, self.by_prefix), default=0)
        self.matches: dict[tuple[str, str], RouteMatch] = {}

    def find(
        self, method: str, path: str, client_account: str
    ) -> RouteMatch | exceptions.Refusal:
        """Return the match of a request, or the refusal if there is none.

        The longest prefix of whole path segments wins, then the method.
        """
        if path[:1] != "/" or (
            ("%" in path or "/." in path) and _is_ambiguous(path)
        ):
            return _refusal(400, "path", "path must be absolute and plain")
        methods = self.by_prefix.get(path) or self._find_longest_prefix(path)
        if methods is None:
            return _refusal(404, "no-route", "no route matches the path")
        route = methods.get(method)
        if route is None:
            return _refusal(404, "no-route", f"no route takes {method:.20}")
        match = self.matches.get((route.name, client_account))
        return match or self._match(route, client_account)

    def _find_longest_prefix(
        self, path: str
    ) -> dict[str, models.Route] | None:
        if "?" in path:
            path = path.partition("?")[0]
            if (found := self.by_prefix.get(path)) is not None:
                return found
        candidate = path[: self.max_prefix_length + 1]
        while (slash := candidate.rfind("/")) >= 0:
            for prefix in (candidate[: slash + 1], candidate[:slash]):
                if (found := self.by_prefix.get(prefix)) is not None:
                    return found
            candidate = candidate[:slash]
        return None

    def _match(
        self, route: models.Route, name: str
    ) -> RouteMatch | exceptions.Refusal:
        client_account = self.configuration.tenants.get(name)
        if route.tenants and name not in route.tenants:
            return _refusal(403, "tenant", "route does not admit the tenant")
        if name and client_account is None:
            # Without the client account, its home regions cannot be checked.
            return _refusal(403, "tenant", "tenant is not configured")
        service = self.configuration.services.get(route.service)
        if service is None:
            return _refusal(503, "no-service", "service is not configured")
        match = RouteMatch(
            route,
            service,
            name,
            client_account.weight if client_account else 1,
            _home_regions(route, client_account),
        )
        if len(self.matches) >= MAX_CACHED_MATCHES:
            self.matches.clear()
        self.matches[(route.name, name)] = match
        return match


@functools.lru_cache(maxsize=2)
def index_of(configuration: models.Configuration) -> RouteIndex:
    """Return the index of a configuration, built on first use."""
    return RouteIndex(configuration)


def match_route(
    configuration: models.Configuration, request: events.Request
) -> MatchResult:
    """Return the route match of a request, or its refusal as an error."""
    found = index_of(configuration).find(
        request.method, request.path, request.tenant
    )
    if isinstance(found, exceptions.Refusal):
        return expression.Error(found)
    return expression.Ok(found)


def _home_regions(
    route: models.Route, client_account: models.Tenant | None
) -> frozenset[str] | None:
    # An empty list allows every region. Disjoint lists allow none: the result
    # is then the empty set, not None.
    region_lists = [
        route.home_regions,
        client_account.home_regions if client_account else (),
    ]
    restrictions = [frozenset(regions) for regions in region_lists if regions]
    return frozenset.intersection(*restrictions) if restrictions else None


def _is_ambiguous(path: str) -> bool:
    # A target may decode the path and resolve its dot segments, and so
    # serve a path that belongs to another route.
    if "/." not in path and "%" not in path:
        return False
    normalized = path.partition("?")[0].lower().replace("%2e", ".")
    if "%2f" in normalized or "%5c" in normalized:
        return True
    return any(part in (".", "..") for part in normalized.split("/"))


def _refusal(status: int, reason: str, message: str) -> exceptions.Refusal:
    return exceptions.Refusal(status, reason, message)
