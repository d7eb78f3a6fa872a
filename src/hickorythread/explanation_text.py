"""Formats the explanation of a sidecar's route as text."""

from typing import Any

from hickorythread import output

Document = dict[str, Any]

_COLUMNS = (
    "target",
    "host",
    "domain",
    "distance_cost",
    "expected_load",
    "limit",
    "pace",
    "failure_rate",
    "score",
    "close",
    "sampled",
)


def lines(document: Document) -> list[str]:
    """Return the lines that say the same as the document."""
    request = document.get("request") or {}
    lease = "holds" if document.get("account_lease") else "does not hold"
    result = [
        f"request: {request.get('method')} {request.get('host')}"
        f"{request.get('path')}",
        f"decision: {_decision(document.get('decision') or {})}",
        f"version: {document.get('version')}",
        f"account lease: {lease}",
    ]
    for name in ("route", "account"):
        if document.get(name):
            result += output.flatten(document[name], name)
    if document.get("destinations"):
        service = document.get("next_service") or "not decided yet"
        result.append(f"next service: {service}")
    for destination in document.get("destinations") or ():
        result += _destination_lines(destination)
    return result


def _decision(decision: Document) -> str:
    action = decision.get("action")
    if action == "wait":
        seconds = decision.get("seconds")
        return f"wait up to {seconds} s for a token of the account's quota"
    if action != "refuse":
        return str(action)
    text = f"refuse with {decision.get('status')} {decision.get('reason')}"
    if decision.get("retry_after") is not None:
        text += f", Retry-After {decision['retry_after']} s"
    return text


def _destination_lines(destination: Document) -> list[str]:
    result = [
        f"service {destination.get('service')}: "
        f"weight {destination.get('weight')}, "
        f"{destination.get('targets')} targets, "
        f"{destination.get('checked')} checked, "
        f"{destination.get('usable')} usable, "
        f"{destination.get('scored')} scored"
    ]
    if destination.get("refusal"):
        result.append(f"  {_decision(destination['refusal'])}")
    candidates = destination.get("candidates") or ()
    if candidates:
        rows = [_COLUMNS, *map(_candidate_row, candidates)]
        result += [f"  {line}" for line in output.table(rows)]
    for reason, count in sorted((destination.get("excluded") or {}).items()):
        result.append(f"  excluded: {count} {reason}")
    for item in destination.get("excluded_targets") or ():
        result.append(f"  {_exclusion(item)}")
    return result


def _exclusion(item: Document) -> str:
    text = (
        f"excluded: {item.get('target')} on {item.get('host')} in "
        f"{item.get('domain')}: {item.get('reason')}"
    )
    if item.get("seconds") is not None:
        text += f", for {item['seconds']} s"
    return text


def _candidate_row(candidate: Document) -> tuple[str, ...]:
    return tuple(_cell(candidate.get(name)) for name in _COLUMNS)


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
