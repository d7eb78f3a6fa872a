"""Find the route of a request and the service of a split route."""

from hickorythread import interfaces
from hickorythread.mesh import models


class Router:
    """Index the routes of one configuration by host and prefix."""

    __slots__ = ("configuration", "by_host")

    def __init__(self, configuration: models.Configuration) -> None:
        self.configuration = configuration
        self.by_host: dict[str, dict[str, models.Route]] = {}
        for route in configuration.routes:
            prefixes = self.by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route with the longest prefix of a path."""
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


class Splitter:
    """Divide the requests of each route among its services by weight.

    Smooth weighted round robin keeps the shares close to the weights over
    few requests. Each node starts at a random place, so that the nodes do
    not choose the same service at the same time.
    """

    __slots__ = ("random_source", "credits")

    def __init__(self, random_source: interfaces.RandomSource) -> None:
        self.random_source = random_source
        self.credits: dict[str, dict[str, float]] = {}

    def pick(self, route: models.Route) -> str:
        """Return the service of the next request of a route."""
        if len(route.destinations) == 1:
            return route.destinations[0][0]
        credits = self.credits.get(route.name)
        total = sum(weight for _, weight in route.destinations)
        services = {service for service, _ in route.destinations}
        if credits is None or credits.keys() != services:
            credits = self.credits[route.name] = {
                service: self.random_source.random() * total
                for service in sorted(services)
            }
        for service, weight in route.destinations:
            credits[service] += weight
        chosen = max(credits, key=lambda service: credits[service])
        credits[chosen] -= total
        return chosen

    def keep_only(self, routes: set[str]) -> None:
        """Forget the routes that no longer exist."""
        for name in self.credits.keys() - routes:
            del self.credits[name]


def _host_name(host: str) -> str:
    """Return the name in a Host header, without a port."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
