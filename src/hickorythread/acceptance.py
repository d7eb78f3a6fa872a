"""Acceptance of published patches.

Acceptance is deterministic: every node reaches the same verdict on a log
entry without asking another node.
"""

from collections.abc import Mapping
from typing import Any

import expression
import msgpack

from hickorythread import exceptions
from hickorythread import models
from hickorythread import schemas
from hickorythread import utils
from hickorythread import validation

MAX_PATCH_BYTES = 1_000_000
EMPTY_DIGEST = bytes(32)

Verdict = expression.Result[models.Configuration, exceptions.Rejection]


class _ConfigurationBuilder:
    """Build the next version on copies of the maps.

    Operations name the maps, so that tenants holds the client accounts.
    """

    __slots__ = (
        "version",
        "rules",
        "services",
        "routes",
        "tenants",
        "failure_domains",
    )

    def __init__(self, base: models.Configuration) -> None:
        self.version = base.version + 1
        self.rules = base.rules
        self.services = dict(base.services)
        self.routes = dict(base.routes)
        self.tenants = dict(base.tenants)
        self.failure_domains = dict(base.failure_domains)


def empty_configuration() -> models.Configuration:
    """Return the empty version 0, the base of the first patch."""
    return build_configuration(0, 1, EMPTY_DIGEST, {}, {}, {}, {})


def build_configuration(
    version: int,
    rules: int,
    previous_digest: bytes,
    services: dict[str, models.Service],
    routes: dict[str, models.Route],
    tenants: dict[str, models.Tenant],
    failure_domains: dict[str, models.FailureDomain],
) -> models.Configuration:
    """Build a configuration and compute its chained digest."""
    configuration = models.Configuration(
        version,
        rules,
        previous_digest,
        b"",
        services,
        routes,
        tenants,
        failure_domains,
    )
    configuration.digest = digest_of(configuration)
    return configuration


def digest_of(configuration: models.Configuration) -> bytes:
    """Return the digest of the previous digest and the content."""
    content = utils.digest(pack_content(configuration))
    return utils.digest(configuration.previous_digest + content)


def pack_content(configuration: models.Configuration) -> bytes:
    """Serialize the content to the same bytes as pack_canonical, but faster.

    Every node serializes the whole content for each patch, so the keys are
    sorted once per class rather than once per item.
    """
    content = {
        name: _sorted_documents(getattr(configuration, name))
        for name in ("failure_domains", "routes")
    }
    content["rules"] = configuration.rules
    for name in ("services", "tenants"):
        content[name] = _sorted_documents(getattr(configuration, name))
    content["version"] = configuration.version
    return bytes(msgpack.packb(content, use_bin_type=True))


def _sorted_documents(items: Mapping[str, Any]) -> Any:
    return [
        {
            field: getattr(items[name], field)
            for field in _sorted_fields(items[name])
        }
        for name in sorted(items)
    ]


def _sorted_fields(item: Any) -> list[str]:
    return _SORTED_FIELDS[type(item)]


def load_snapshot(document: models.Document) -> models.Configuration:
    """Build a configuration from a snapshot document."""
    content = document["content"]
    return build_configuration(
        content["version"],
        content["rules"],
        document["previous_digest"],
        _index_by_name(models.Service, content["services"]),
        _index_by_name(models.Route, content["routes"]),
        _index_by_name(models.Tenant, content["tenants"]),
        _index_by_name(models.FailureDomain, content["failure_domains"]),
    )


def to_snapshot(configuration: models.Configuration) -> models.Document:
    """Return a document from which a peer restores the configuration."""
    return {
        "content": configuration.content(),
        "previous_digest": configuration.previous_digest,
    }


def accept(
    configuration: models.Configuration, entry: models.LogEntry
) -> Verdict:
    """Return the next version, or a rejection of the whole patch."""
    problems = check_patch_document(entry.patch)
    if problems:
        return _reject(entry, "malformed", problems)
    patch = models.Patch.from_config(entry.patch)
    problems = find_conflicts(configuration, patch)
    if problems:
        return _reject(entry, "conflict", problems)
    builder = _ConfigurationBuilder(configuration)
    for index, operation in enumerate(patch.operations):
        problems.extend(
            _apply_operation(builder, operation, f"/operations/{index}")
        )
    if problems:
        return _reject(entry, "invalid", problems)
    return _validate_candidate(configuration, builder, entry)


def check_patch_document(document: Any) -> list[exceptions.Problem]:
    """Return the problems of a patch that need no configuration to detect."""
    problems = schemas.check("patch", document)
    if problems:
        return problems
    try:
        size = len(utils.pack_canonical(document))
    except (ValueError, OverflowError, RecursionError) as error:
        # JSON allows integers above 64 bits, lone surrogates and deep
        # nesting, which cannot be serialized for digests and messages.
        return [exceptions.Problem("/", f"cannot be serialized: {error}")]
    if size > MAX_PATCH_BYTES:
        message = f"{size} bytes exceed the limit of {MAX_PATCH_BYTES}"
        return [exceptions.Problem("/", message)]
    return []


def find_conflicts(
    configuration: models.Configuration, patch: models.Patch
) -> list[exceptions.Problem]:
    """Return the conflicts between a patch and changes since its base.

    A patch that only sets failure-domain states conflicts only with a later
    change of the same domain, so that an unrelated patch does not block an
    urgent removal.
    """
    current = configuration.version
    if patch.base > current:
        message = f"base {patch.base} is newer than version {current}"
        return [exceptions.Problem("/base", message)]
    if patch.base == current:
        return []
    if not _sets_domain_states_only(patch):
        message = f"base {patch.base} is not the current version {current}"
        return [exceptions.Problem("/base", message)]
    problems = []
    for index, operation in enumerate(patch.operations):
        domain = configuration.failure_domains.get(operation.value["name"])
        if domain is not None and domain.changed_version > patch.base:
            message = (
                f"failure domain {domain.name!r} was changed by version "
                f"{domain.changed_version}, after base {patch.base}"
            )
            path = f"/operations/{index}"
            problems.append(exceptions.Problem(path, message))
    return problems


def _sets_domain_states_only(patch: models.Patch) -> bool:
    return all(
        operation.op == "set_failure_domain_state"
        for operation in patch.operations
    )


def _validate_candidate(
    configuration: models.Configuration,
    builder: _ConfigurationBuilder,
    entry: models.LogEntry,
) -> Verdict:
    candidate = build_configuration(
        builder.version,
        builder.rules,
        configuration.digest,
        builder.services,
        builder.routes,
        builder.tenants,
        builder.failure_domains,
    )
    problems = validation.validate(candidate)
    if problems:
        return _reject(entry, "invalid", problems)
    return expression.Ok(candidate)


def _reject(
    entry: models.LogEntry, kind: str, problems: list[exceptions.Problem]
) -> Verdict:
    rejection = exceptions.Rejection(
        _printable_id(entry.patch),
        entry.sequence,
        kind,
        problems[: schemas.MAX_PROBLEMS],
    )
    return expression.Error(rejection)


def _printable_id(document: Any) -> str:
    """Return the id of an unchecked patch, or "" if it is not printable."""
    patch_id = document.get("id") if isinstance(document, dict) else None
    if isinstance(patch_id, str) and patch_id.isprintable():
        return patch_id[:64]
    return ""


def _apply_operation(
    builder: _ConfigurationBuilder, operation: models.Operation, path: str
) -> list[exceptions.Problem]:
    action, _, item_kind = operation.op.partition("_")
    if operation.op == "set_rules":
        return _set_rules(builder, operation.value, path)
    if operation.op == "set_failure_domain_state":
        return _set_failure_domain_state(builder, operation.value, path)
    if operation.op == "put_failure_domain":
        return _put_failure_domain(builder, operation.value)
    items = getattr(builder, f"{item_kind}s")
    if action == "put":
        item = _MODEL_CLASSES[item_kind].from_config(operation.value)
        items[item.name] = item
        return []
    if items.pop(operation.value, None) is None:
        message = f"{item_kind} {operation.value!r} does not exist"
        return [exceptions.Problem(f"{path}/value", message)]
    return []


def _put_failure_domain(
    builder: _ConfigurationBuilder, value: models.Document
) -> list[exceptions.Problem]:
    domain = models.FailureDomain.from_config(value)
    domain.changed_version = builder.version
    builder.failure_domains[domain.name] = domain
    return []


def _set_failure_domain_state(
    builder: _ConfigurationBuilder, value: models.Document, path: str
) -> list[exceptions.Problem]:
    domain = builder.failure_domains.get(value["name"])
    if domain is None:
        message = f"failure domain {value['name']!r} does not exist"
        return [exceptions.Problem(f"{path}/value/name", message)]
    builder.failure_domains[domain.name] = models.FailureDomain(
        domain.name, domain.region, value["state"], builder.version
    )
    return []


def _set_rules(
    builder: _ConfigurationBuilder, value: int, path: str
) -> list[exceptions.Problem]:
    if value < builder.rules:
        message = (
            f"rules {value} is lower than the current rules {builder.rules}"
        )
        return [exceptions.Problem(f"{path}/value", message)]
    builder.rules = value
    return []


def _index_by_name(
    model: Any, documents: list[models.Document]
) -> dict[str, Any]:
    items = [model.from_config(document) for document in documents]
    return {item.name: item for item in items}


_SORTED_FIELDS = {
    model: sorted(model.__slots__)
    for model in (
        models.Service,
        models.Route,
        models.Tenant,
        models.FailureDomain,
    )
}
_MODEL_CLASSES: dict[str, Any] = {
    "service": models.Service,
    "route": models.Route,
    "tenant": models.Tenant,
}
