"""Match requests to routes and split the traffic of a route by weight."""

from hickorythread import interfaces
from hickorythread.mesh import models


class Router:
    """Match requests to the routes of one configuration."""

    __slots__ = ("configuration", "by_host")

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration
        self.by_host: dict[str, dict[str, models.Route]] = {}
        for route in configuration.routes:
            prefixes = self.by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

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
