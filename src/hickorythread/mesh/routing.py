"""Match requests to routes and split the traffic of a route by weight."""

from hickorythread import interfaces
from hickorythread.mesh import models

# Each takes about half a kilobyte.
MAX_ACCOUNT_ROUTES = 4096


class Router:
    """Match requests to the routes and accounts of one configuration.

    account_routes holds the routes as accounts use them, by the names of the
    route and the account.
    """

    __slots__ = (
        "configuration",
        "by_host",
        "accounts_by_key",
        "account_routes",
    )

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration
        self.by_host: dict[str, dict[str, models.Route]] = {}
        for route in configuration.routes:
            prefixes = self.by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self.accounts_by_key = {
            digest: account
            for account in configuration.accounts or ()
            for digest in account.key_digests
        }
        self.account_routes: dict[tuple[str, str], models.Route] = {}

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route of a host with the longest matching prefix."""
        prefixes = self.by_host.get(_host_name(host))
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def needs_account(self, route: models.Route) -> bool:
        """Return whether only client accounts may use a route."""
        return self.configuration.accounts is not None and not route.public

    def account(self, key_digest: bytes) -> models.Account | None:
        """Return the account that holds a key, None if there is none."""
        return self.accounts_by_key.get(key_digest)

    def route_for(
        self, route: models.Route, account: models.Account
    ) -> models.Route:
        """Return a route as the requests of an account use it."""
        names = (route.name, account.name)
        own_route = self.account_routes.get(names)
        if own_route is None:
            if len(self.account_routes) >= MAX_ACCOUNT_ROUTES:
                self.account_routes.clear()
            own_route = route.for_account(account)
            self.account_routes[names] = own_route
        return own_route


class TrafficSplitter:
    """Distribute the requests of each route over its services by weight.

    Smooth weighted round robin keeps the shares close to the weights even
    over few requests. Each node starts with random current weights, so that
    the nodes do not choose the same service at the same time.
    """

    __slots__ = ("random_source", "current_weights")

    def __init__(self, random_source: interfaces.RandomSource) -> None:
        self.random_source = random_source
        self.current_weights: dict[str, dict[str, float]] = {}

    def choose_service(self, route: models.Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0][0]
        current_weights = self.current_weights.get(route.name)
        total = sum(weight for _, weight in route.destinations)
        services = {service for service, _ in route.destinations}
        if current_weights is None or current_weights.keys() != services:
            current_weights = self.current_weights[route.name] = {
                service: self.random_source.random() * total
                for service in sorted(services)
            }
        for service, weight in route.destinations:
            current_weights[service] += weight
        chosen = max(
            current_weights, key=lambda service: current_weights[service]
        )
        current_weights[chosen] -= total
        return chosen

    def keep_only(self, routes: set[str]) -> None:
        """Drop the state of routes that no longer exist."""
        for name in self.current_weights.keys() - routes:
            del self.current_weights[name]


def _host_name(host: str) -> str:
    """Return the lower-case host name of a Host header without its port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
