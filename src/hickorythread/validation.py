"""Validation of configurations as a whole."""

from hickorythread import exceptions
from hickorythread import models

SUPPORTED_RULES = 1
MAX_SERVICES = 10_000
MAX_ROUTES = 50_000
MAX_CLIENT_ACCOUNTS = 50_000
MAX_FAILURE_DOMAINS = 1_000


def validate(
    configuration: models.Configuration,
) -> list[exceptions.Problem]:
    """Return all problems of a configuration; it is valid if empty."""
    problems = _check_sizes(configuration)
    regions = {
        domain.region for domain in configuration.failure_domains.values()
    }
    for route in configuration.routes.values():
        problems.extend(_check_route(configuration, route, regions))
    for client_account in configuration.tenants.values():
        path = f"/tenants/{client_account.name}/home_regions"
        problems.extend(
            _check_regions(path, client_account.home_regions, regions)
        )
    problems.extend(_check_duplicate_matches(configuration))
    return problems


def _check_sizes(
    configuration: models.Configuration,
) -> list[exceptions.Problem]:
    limits = (
        ("services", configuration.services, MAX_SERVICES),
        ("routes", configuration.routes, MAX_ROUTES),
        ("tenants", configuration.tenants, MAX_CLIENT_ACCOUNTS),
        (
            "failure_domains",
            configuration.failure_domains,
            MAX_FAILURE_DOMAINS,
        ),
    )
    return [
        exceptions.Problem(
            f"/{name}", f"{len(items)} entries exceed the limit of {limit}"
        )
        for name, items, limit in limits
        if len(items) > limit
    ]


def _check_route(
    configuration: models.Configuration,
    route: models.Route,
    regions: set[str],
) -> list[exceptions.Problem]:
    path = f"/routes/{route.name}"
    problems = []
    if route.service not in configuration.services:
        problems.append(
            exceptions.Problem(
                f"{path}/service", f"service {route.service!r} does not exist"
            )
        )
    for client_account in route.tenants:
        if client_account not in configuration.tenants:
            problems.append(
                exceptions.Problem(
                    f"{path}/tenants",
                    f"tenant {client_account!r} does not exist",
                )
            )
    problems.extend(
        _check_regions(f"{path}/home_regions", route.home_regions, regions)
    )
    if route.retry and not route.idempotent:
        problems.append(
            exceptions.Problem(
                f"{path}/retry",
                "a route that is not idempotent must set retry to false",
            )
        )
    return problems


def _check_regions(
    path: str, names: tuple[str, ...], regions: set[str]
) -> list[exceptions.Problem]:
    return [
        exceptions.Problem(path, f"region {name!r} has no failure domain")
        for name in names
        if name not in regions
    ]


def _check_duplicate_matches(
    configuration: models.Configuration,
) -> list[exceptions.Problem]:
    routes_by_match: dict[tuple[str, str], str] = {}
    problems = []
    for name in sorted(configuration.routes):
        route = configuration.routes[name]
        for method in route.methods:
            matching_route = routes_by_match.setdefault(
                (route.path_prefix, method), name
            )
            if matching_route != name:
                problems.append(
                    exceptions.Problem(
                        f"/routes/{name}",
                        f"{method} {route.path_prefix} is already matched "
                        f"by route {matching_route!r}",
                    )
                )
    return problems
