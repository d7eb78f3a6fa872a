"""Functions of the public API. None of them performs I/O."""

from typing import Any

from hickorythread import acceptance
from hickorythread import exceptions
from hickorythread import models
from hickorythread import routing
from hickorythread import schemas


class Explanation:
    """Describe the routing of a request under one configuration version.

    refusal is None if the request is admitted. failure_domains lists the
    domains that are in service and in an allowed region.
    """

    __slots__ = (
        "version",
        "route",
        "service",
        "home_regions",
        "failure_domains",
        "refusal",
    )

    def __init__(
        self,
        version: int,
        route: str,
        service: str,
        home_regions: tuple[str, ...],
        failure_domains: tuple[str, ...],
        refusal: exceptions.Refusal | None,
    ) -> None:
        self.version = version
        self.route = route
        self.service = service
        self.home_regions = home_regions
        self.failure_domains = failure_domains
        self.refusal = refusal

    def to_document(self) -> models.Document:
        """Return the explanation as a document with a fixed key order."""
        document: models.Document = {
            "version": self.version,
            "route": self.route,
            "service": self.service,
            "home_regions": list(self.home_regions),
            "failure_domains": list(self.failure_domains),
            "refusal": None,
        }
        if self.refusal is not None:
            document["refusal"] = {
                "status": self.refusal.status,
                "reason": self.refusal.reason,
                "message": self.refusal.message,
            }
        return document


def check_patch(
    document: Any, configuration: models.Configuration | None = None
) -> list[exceptions.Problem]:
    """Return the problems of a patch.

    With a configuration, the patch is also validated against it.
    """
    if configuration is None:
        return acceptance.check_patch_document(document)
    verdict = apply_patch(configuration, document)
    return verdict.error.problems if verdict.is_error() else []


def apply_patch(
    configuration: models.Configuration, document: Any
) -> acceptance.Verdict:
    """Return the next version, or the reasons why the patch is rejected.

    A patch is applied as a whole or not at all.
    """
    return acceptance.accept(configuration, models.LogEntry(0, 0, document))


def check_settings(document: Any) -> list[exceptions.Problem]:
    """Return all problems of a settings document, each with its path."""
    return schemas.check("settings", document)


def explain(
    configuration: models.Configuration,
    method: str,
    path: str,
    tenant: str = "",
    region: str = "",
) -> Explanation:
    """Return how a request would be routed from an entry node in a region.

    tenant is the name of the client account. Without a region, home regions
    are reported but not enforced.
    """
    match_result = routing.index_of(configuration).find(method, path, tenant)
    if isinstance(match_result, exceptions.Refusal):
        return Explanation(configuration.version, "", "", (), (), match_result)
    region_names = match_result.home_regions
    refusal = None
    if region and not match_result.allows(region):
        allowed = ", ".join(sorted(region_names or ())) or "none"
        refusal = exceptions.Refusal(
            421,
            "home-region",
            f"region {region!r} is outside the home regions ({allowed})",
        )
    return Explanation(
        configuration.version,
        match_result.route.name,
        match_result.route.service,
        tuple(sorted(region_names or ())),
        _available_domains(configuration, match_result),
        refusal,
    )


def _available_domains(
    configuration: models.Configuration, match: routing.RouteMatch
) -> tuple[str, ...]:
    return tuple(
        name
        for name, domain in sorted(configuration.failure_domains.items())
        if domain.state == "in" and match.allows(domain.region)
    )
