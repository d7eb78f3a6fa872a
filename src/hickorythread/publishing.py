"""Publishes patches for the commands of operators."""

from collections.abc import Callable
from typing import Any

from hickorythread import command_errors
from hickorythread import exit_codes
from hickorythread import output
from hickorythread import profiles

VERDICT_POLL_SECONDS = 0.2


def submit(
    options: profiles.ConnectionOptions,
    patch: dict[str, Any],
    timeout: float,
    format: output.Format,
) -> int:
    """Publish a patch that a node would accept; return the exit code."""
    node_client = options.node_client()
    platform_client = options.platform_client()
    patch_id = patch["id"]
    existing = call_node(lambda: node_client.verdict(patch_id))
    if existing.get("verdict") in ("accepted", "rejected"):
        raise command_errors.CommandError(
            exit_codes.EXIT_REJECTED,
            f"{patch_id}: not published; the log already has a patch with "
            f"this id ({existing['verdict']}); choose another id",
        )
    check_result = call_node(lambda: node_client.check_patch(patch))
    if not check_result.get("accepted"):
        lines = output.rejection_lines(patch_id, check_result)
        document = {"id": patch_id, "published": False} | check_result
        output.print_result(
            format, document, lines + ["the patch was not published"]
        )
        return exit_codes.EXIT_REJECTED
    entry_sequence = _publish(platform_client, patch)
    verdict = _wait_for_verdict(node_client, patch_id, entry_sequence, timeout)
    return print_verdict(format, patch_id, verdict)


def _publish(platform_client: Any, patch: dict[str, Any]) -> int:
    """Return the log sequence of the published patch, 0 if not reported."""
    from hickorythread import client

    try:
        response = platform_client.publish(patch)
    except client.UnreachableError as error:
        raise command_errors.CommandError(
            exit_codes.EXIT_UNREACHABLE,
            str(error),
            "it is not known whether the patch was published; run "
            f"`hickorythread patch show {patch['id']}` before you submit it "
            "again",
        ) from error
    except client.RefusedError as error:
        raise command_errors.CommandError(
            _exit_code_for(error.status),
            str(error),
            "the patch was not published",
        ) from error
    sequence = response.get("sequence", 0)
    return sequence if isinstance(sequence, int) else 0


def _exit_code_for(status: int) -> int:
    if status in (401, 403):
        return exit_codes.EXIT_USAGE
    if status == 429:
        return exit_codes.EXIT_UNREACHABLE
    return exit_codes.EXIT_REJECTED


def _wait_for_verdict(
    node_client: Any, patch_id: str, sequence: int, timeout: float
) -> dict[str, Any]:
    import time

    from hickorythread import client

    deadline = time.monotonic() + timeout
    while True:
        reason, code = (
            f"no verdict within {timeout:g} s",
            exit_codes.EXIT_REJECTED,
        )
        try:
            verdict: dict[str, Any] = node_client.verdict(patch_id)
            if _is_verdict_on(verdict, sequence):
                return verdict
        except (client.UnreachableError, client.RefusedError) as error:
            reason, code = str(error), exit_codes.EXIT_UNREACHABLE
        if time.monotonic() >= deadline:
            raise command_errors.CommandError(
                code,
                f"{patch_id}: published as entry {sequence}; {reason}",
                f"run `hickorythread patch show {patch_id}`",
            )
        time.sleep(VERDICT_POLL_SECONDS)


def _is_verdict_on(verdict: dict[str, Any], sequence: int) -> bool:
    """Return whether a verdict belongs to the log entry just published.

    A verdict on a lower sequence is about an older patch with the same id.
    """
    verdict_sequence = verdict.get("sequence")
    if isinstance(verdict_sequence, int) and verdict_sequence < sequence:
        return False
    return verdict.get("verdict") in ("accepted", "rejected")


def set_domain(
    options: profiles.ConnectionOptions,
    name: str,
    state: str,
    timeout: float,
    format: output.Format,
) -> int:
    """Publish a patch that sets the state of a failure domain."""
    version = call_node(options.node_client().status).get("version")
    if not isinstance(version, int):
        raise command_errors.CommandError(
            exit_codes.EXIT_UNREACHABLE, "the node's status has no version"
        )
    patch = _domain_patch(name, state, version)
    from hickorythread import api

    problems = api.check_patch(patch)
    if problems:
        raise command_errors.usage_error(f"failure domain {name!r}", problems)
    return submit(options, patch, timeout, format)


def _domain_patch(name: str, state: str, version: int) -> dict[str, Any]:
    import secrets

    return {
        "id": f"{state}-{name[:32]}-{version}-{secrets.token_hex(4)}",
        "base": version,
        "operations": [
            {
                "op": "set_failure_domain_state",
                "value": {"name": name, "state": state},
            }
        ],
    }


def call_node(call: Callable[[], dict[str, Any]]) -> dict[str, Any]:
    """Return the result of a call to a node.

    Raises CommandError if no node responds or the call is refused.
    """
    from hickorythread import client

    try:
        return call()
    except client.UnreachableError as error:
        raise command_errors.CommandError(
            exit_codes.EXIT_UNREACHABLE,
            str(error),
            "check the address and that the node is running, or use "
            "another node",
        ) from error
    except client.RefusedError as error:
        raise command_errors.CommandError(
            _exit_code_for(error.status), str(error)
        ) from error


def print_verdict(
    format: output.Format, patch_id: str, verdict: dict[str, Any]
) -> int:
    """Print the verdict on a patch; return the exit code."""
    kind = verdict.get("verdict", "unknown")
    if kind == "accepted":
        lines = [f"{patch_id}: accepted as version {verdict.get('version')}"]
    elif kind == "rejected":
        lines = output.rejection_lines(patch_id, verdict)
    else:
        lines = [f"{patch_id}: the node has no verdict on this patch"]
    output.print_result(format, verdict, lines)
    return (
        exit_codes.EXIT_OK if kind == "accepted" else exit_codes.EXIT_REJECTED
    )
