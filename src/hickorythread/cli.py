"""The command line.

Libraries are imported inside the commands, so that a command pays for none
that it does not use and `node` can patch the standard library first.
"""

from collections.abc import Callable
from collections.abc import Iterable
import sys
from typing import Any
from typing import Literal
from typing import TextIO

EXIT_OK = 0
EXIT_REJECTED = 1
EXIT_USAGE = 2
EXIT_ADDRESS_IN_USE = 3
EXIT_UNREACHABLE = 4
EXIT_INVARIANT = 5
EXIT_INTERRUPTED = 130

DESCRIPTION = "Distribute the configuration of a service mesh."
EXIT_CODES = """exit codes:
  0  done
  1  rejected or unmet: the patch was rejected, or no verdict came in time
  2  bad input or usage
  3  address in use
  4  source or node unreachable
  5  broken invariant

Run `hickorythread COMMAND --help` for the options of a command."""

VERDICT_POLL_SECONDS = 0.2

Format = Literal["text", "json"]


class CommandError(Exception):
    """End a command with an exit code and lines for the operator."""

    def __init__(self, code: int, *lines: str) -> None:
        super().__init__("\n".join(lines))
        self.code = code
        self.lines = lines


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] in (["node"], ["sidecar"]):
        _exit_on_sigterm()
    if arguments[:1] in (["node"], ["sidecar"], ["standin"]):
        _patch_standard_library()
    import defopt

    call = defopt.bind(
        _select(arguments),
        argv=arguments,
        short={},
        version=False,
        no_negated_flags=True,
        argparse_kwargs={
            "prog": "hickorythread",
            "description": DESCRIPTION,
            "epilog": EXIT_CODES,
        },
    )
    return _run(call)


def _run(call: Callable[[], int]) -> int:
    from hickorythread import exceptions

    try:
        return call()
    except CommandError as error:
        _print_lines(sys.stderr, error.lines)
        return error.code
    except exceptions.InvariantError as error:
        _print_lines(sys.stderr, (f"broken invariant: {error}",))
        return EXIT_INVARIANT
    except BrokenPipeError:
        return _leave_pipe()
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    except Exception:
        # The interpreter would exit 1, which means "rejected" here.
        _print_traceback()
        return EXIT_INVARIANT


def _leave_pipe() -> int:
    """Send unwritten output nowhere; its reader has gone."""
    import os

    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return EXIT_OK


def _print_traceback() -> None:
    import traceback

    traceback.print_exc()


def _exit_on_sigterm() -> None:
    """Exit 0 on SIGTERM while the node is still loading its libraries."""
    import signal

    def leave(number: int, frame: Any) -> None:
        raise SystemExit(EXIT_OK)

    signal.signal(signal.SIGTERM, leave)


def _patch_standard_library() -> None:
    """Let blocking calls of the standard library yield to other tasks."""
    import os
    import warnings

    # Addresses are IP:port, so the resolver of eventlet is not needed; it
    # occupies 12 MB, and the binary does not hold it.
    os.environ["EVENTLET_NO_GREENDNS"] = "yes"
    warnings.filterwarnings("ignore", message="\\nEventlet is deprecated")
    # The log needs the original select, which it takes on import.
    import eventlet

    from hickorythread import logs  # noqa: F401

    eventlet.monkey_patch()


def _select(arguments: list[str]) -> dict[str, Any]:
    """Return the named command alone, so that only its help is parsed."""
    named = arguments[0] if arguments else ""
    if named not in COMMANDS:
        return COMMANDS
    chosen = COMMANDS[named]
    if isinstance(chosen, dict) and arguments[1:2] and arguments[1] in chosen:
        chosen = {arguments[1]: chosen[arguments[1]]}
    return {named: chosen}


def node(*, settings: str) -> int:
    """Run a node until SIGTERM or SIGINT.

    Exits 0 after a graceful shutdown, 2 if the settings are wrong, 3 if an
    address is in use, 5 on a broken invariant.

    :param settings: settings file in JSON
    """
    from hickorythread import settings as settings_module

    return _run_process(
        settings, settings_module.Settings.from_config, "hickorythread.node"
    )


def sidecar(*, settings: str) -> int:
    """Run a sidecar on the users' platform until SIGTERM or SIGINT.

    Exits 0 after a graceful shutdown, 2 if the settings are wrong, 3 if an
    address is in use, 5 on a broken invariant.

    :param settings: settings file in JSON
    """
    from hickorythread.mesh import settings as settings_module

    return _run_process(
        settings,
        settings_module.Settings.from_config,
        "hickorythread.platform.sidecar",
        settings,
    )


def _run_process(
    path: str, check: Callable[[Any], Any], module: str, *arguments: Any
) -> int:
    """Run a module with the checked settings of a file."""
    import importlib

    result = check(_load(path))
    if result.is_error():
        raise _problems_error(path, result.error)
    loaded = importlib.import_module(module)
    return _serve(lambda: loaded.run(result.ok, *arguments))


def check(file: str, *, format: Format = "text") -> int:
    """Check a settings or patch file and report all mistakes at once.

    A document with the key id, base or operations is a patch; any other is
    settings. Exits 0 if there is no mistake, otherwise 2.

    :param file: file in JSON
    :param format: text or json
    """
    from hickorythread import api
    from hickorythread import documents

    loaded = documents.read(file)
    if loaded.is_error():
        return _report_check(format, file, "unknown", loaded.error)
    kind = documents.kind_of(loaded.ok)
    checks = {
        documents.PATCH: api.check_patch,
        documents.SETTINGS: api.check_settings,
    }
    return _report_check(format, file, kind, checks[kind](loaded.ok))


def patch_check(
    file: str, *, node: str = "", profile: str = "", format: Format = "text"
) -> int:
    """Check a patch file, and judge it at a node without publishing it.

    Without a node only the file itself is checked. Exits 0 if the patch
    would be accepted now, 1 if it would be rejected, 2 if the file is wrong,
    4 if no node answers.

    :param file: patch file in JSON
    :param node: operator address of a node, IP:port; several with commas
    :param profile: profile file in JSON
    :param format: text or json
    """
    patch = _load_patch(file)
    access = _read_access(profile, node=node)
    if not access.nodes:
        text = f"{file}: no mistakes; not judged, because no node was named"
        return _print(format, {"accepted": None, "problems": []}, [text])
    answer = _ask(lambda: access.node_client().check_patch(patch))
    if answer.get("accepted"):
        text = f"{patch['id']}: would be accepted"
        return _print(format, answer, [text])
    _print(format, answer, _rejection_lines(patch["id"], answer))
    return EXIT_REJECTED


def patch_submit(
    file: str,
    *,
    node: str = "",
    platform: str = "",
    token_file: str = "",
    profile: str = "",
    timeout: float = 15.0,
    format: Format = "text",
) -> int:
    """Publish a patch and wait for its verdict at a node.

    The patch is checked here and at the node first; a patch that would be
    rejected is not published. Exits 0 if the patch was accepted, 1 if it was
    rejected or no verdict came in time, 2 if the input is wrong, 4 if the
    node or the platform does not answer.

    :param file: patch file in JSON
    :param node: operator address of a node, IP:port; several with commas
    :param platform: address of the platform, IP:port
    :param token_file: file that holds the operators' bearer token
    :param profile: profile file in JSON; flags take precedence over it
    :param timeout: seconds to wait for the verdict
    :param format: text or json
    """
    patch = _load_patch(file)
    access = _read_access(profile, node, platform, token_file)
    return _submit(access, patch, timeout, format)


def patch_show(
    id: str, *, node: str = "", profile: str = "", format: Format = "text"
) -> int:
    """Show the verdict on a published patch.

    Exits 0 if the patch was accepted, 1 if it was rejected or the node does
    not know it, 4 if no node answers.

    :param id: the id of the patch
    :param node: operator address of a node, IP:port; several with commas
    :param profile: profile file in JSON
    :param format: text or json
    """
    client = _read_access(profile, node=node).node_client()
    verdict = _ask(lambda: client.verdict(id))
    return _print_verdict(format, id, verdict)


def domain_out(
    name: str,
    *,
    node: str = "",
    platform: str = "",
    token_file: str = "",
    profile: str = "",
    timeout: float = 15.0,
    format: Format = "text",
) -> int:
    """Take a failure domain out of service.

    Publishes a patch that sets only this domain's state, so that it conflicts
    only with another change of the same domain. Exit codes as for
    `patch submit`.

    :param name: name of the failure domain
    :param node: operator address of a node, IP:port; several with commas
    :param platform: address of the platform, IP:port
    :param token_file: file that holds the operators' bearer token
    :param profile: profile file in JSON; flags take precedence over it
    :param timeout: seconds to wait for the verdict
    :param format: text or json
    """
    access = _read_access(profile, node, platform, token_file)
    return _set_domain(access, name, "out", timeout, format)


def domain_in(
    name: str,
    *,
    node: str = "",
    platform: str = "",
    token_file: str = "",
    profile: str = "",
    timeout: float = 15.0,
    format: Format = "text",
) -> int:
    """Bring a failure domain back into service.

    Its upstreams are treated as cold and receive work by a ramp. Exit codes
    as for `patch submit`.

    :param name: name of the failure domain
    :param node: operator address of a node, IP:port; several with commas
    :param platform: address of the platform, IP:port
    :param token_file: file that holds the operators' bearer token
    :param profile: profile file in JSON; flags take precedence over it
    :param timeout: seconds to wait for the verdict
    :param format: text or json
    """
    access = _read_access(profile, node, platform, token_file)
    return _set_domain(access, name, "in", timeout, format)


def status(
    *, node: str = "", profile: str = "", format: Format = "text"
) -> int:
    """Show the version and digest that each part of the fleet holds.

    Lists each region and failure domain, and lagging hosts by name. Exits 0
    if a node answered, otherwise 4.

    :param node: operator address of a node, IP:port; several with commas
    :param profile: profile file in JSON
    :param format: text or json
    """
    client = _read_access(profile, node=node).node_client()
    answer = _ask(client.status)
    return _print(format, answer, _status_lines(answer))


def explain(
    request: str,
    *,
    tenant: str = "",
    node: str = "",
    profile: str = "",
    format: Format = "text",
) -> int:
    """Show how a node would route a request, without sending it.

    Exits 0 if the node answered, 2 if the request is malformed, 4 if no node
    answers.

    :param request: method and path, for example "GET /specs/7"
    :param tenant: the value of X-Tenant
    :param node: operator address of a node, IP:port; several with commas
    :param profile: profile file in JSON
    :param format: text or json
    """
    method, _, path = request.partition(" ")
    if not method.isalpha() or not path.startswith("/") or " " in path:
        raise CommandError(
            EXIT_USAGE,
            f"{request!r} is not a request; write METHOD and path, for "
            'example "GET /specs/7"',
        )
    client = _read_access(profile, node=node).node_client()
    answer = _ask(lambda: client.explain(method.upper(), path, tenant))
    return _print(format, answer, _flat_lines(answer))


def trace(request: str, *files: str, format: Format = "text") -> int:
    """Follow one request through the logs of several nodes.

    Reads standard input if no file is named. Exits 0 if a line names the
    request, 1 if none does, 2 if a file cannot be read.

    :param request: the id of the request
    :param files: log files of the nodes
    :param format: text or json
    """
    from hickorythread import traces

    found = traces.find_request_lines(_read_lines(files), request)
    if not found:
        raise CommandError(
            EXIT_REJECTED,
            f"no line names the request {request}; lines of successful "
            "requests are left out first when a node writes more than its "
            "bound (event lines_dropped)",
        )
    document = {"request": request, "lines": traces.to_document(found)}
    return _print(
        format, document, [traces.format_line(line) for line in found]
    )


def _read_lines(files: tuple[str, ...]) -> Iterable[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as source:
                yield from source
        except OSError as error:
            raise CommandError(
                EXIT_USAGE, f"cannot read {path}: {error.strerror}"
            ) from error


def standin_platform(
    *,
    address: str = "127.0.0.1:7700",
    hosts: str = "",
    token: str = "operator",
) -> int:
    """Run a stand-in of the platform's configuration service.

    :param address: IP:port to listen on
    :param hosts: JSON file with the initial host list
    :param token: bearer token that operators must send
    """
    standins = _standins()
    return _serve(
        lambda: standins.run_platform(
            address=address, token=token, hosts=hosts
        )
    )


def standin_upstream(
    *,
    address: str = "127.0.0.1:7701",
    name: str = "upstream-1",
    slots: int = 12,
    connections: int = 120,
    work_ms: float = 2.0,
    warm_seconds: float = 10.0,
    refuse_seconds: float = 1.0,
) -> int:
    """Run a stand-in of an upstream.

    :param address: IP:port to listen on
    :param name: name that its responses carry
    :param slots: requests that it runs at once
    :param connections: connections that it accepts at once
    :param work_ms: time of one request when warm, in ms
    :param warm_seconds: time from a start until it is warm
    :param refuse_seconds: time for which it refuses after a crash
    """
    standins = _standins()
    return _serve(
        lambda: standins.run_upstream(
            address=address,
            name=name,
            slots=slots,
            connections=connections,
            work_ms=work_ms,
            warm_seconds=warm_seconds,
            refuse_seconds=refuse_seconds,
        )
    )


def standin_caller(
    entry: str,
    *,
    deployment: str = "guild",
    rate: float = 50.0,
    seconds: float = 10.0,
    seed: int = 1,
    results: str = "",
) -> int:
    """Run a stand-in of callers that send requests to entry nodes.

    :param entry: caller addresses of entry nodes, IP:port, with commas
    :param deployment: guild or cooperative
    :param rate: requests per second
    :param seconds: seconds to run
    :param seed: seed of the random choices
    :param results: file to which each result is written as a JSON line
    """
    standins = _standins()
    return _serve(
        lambda: standins.run_caller(
            entries=",".join(_split(entry)),
            deployment=deployment,
            rate=rate,
            seconds=seconds,
            seed=seed,
            results=results,
        )
    )


COMMANDS: dict[str, Any] = {
    "node": node,
    "sidecar": sidecar,
    "check": check,
    "patch": {
        "check": patch_check,
        "submit": patch_submit,
        "show": patch_show,
    },
    "domain": {"out": domain_out, "in": domain_in},
    "status": status,
    "explain": explain,
    "trace": trace,
    "standin": {
        "platform": standin_platform,
        "upstream": standin_upstream,
        "caller": standin_caller,
    },
}


class _Access:
    """Hold the addresses and the token file that a command may use."""

    __slots__ = ("nodes", "platform", "token_file")

    def __init__(
        self, nodes: list[str], platform: str, token_file: str
    ) -> None:
        self.nodes = nodes
        self.platform = platform
        self.token_file = token_file

    def node_client(self) -> Any:
        from hickorythread import client

        if not self.nodes:
            raise CommandError(
                EXIT_USAGE,
                "no node named; give --node IP:port or --profile FILE",
            )
        return client.NodeClient(self.nodes)

    def platform_client(self) -> Any:
        from hickorythread import client

        if not self.platform:
            raise CommandError(
                EXIT_USAGE,
                "no platform named; give --platform IP:port or --profile FILE",
            )
        return client.PlatformClient(
            self.platform, _read_token(self.token_file)
        )


def _read_access(
    profile: str = "", node: str = "", platform: str = "", token_file: str = ""
) -> _Access:
    values: dict[str, Any] = {}
    if profile:
        values = _load_profile(profile)
    if node:
        values["node"] = _split(node)
    if platform:
        values["platform"] = platform
    if token_file:
        values["token_file"] = token_file
    _check_profile("command line" if not profile else profile, values)
    nodes = values.get("node", [])
    return _Access(
        [nodes] if isinstance(nodes, str) else nodes,
        values.get("platform", ""),
        values.get("token_file", ""),
    )


def _load_profile(path: str) -> dict[str, Any]:
    import os

    document = _load(path)
    _check_profile(path, document)
    values = dict(document)
    if "token_file" in values:
        folder = os.path.dirname(os.path.abspath(path))
        values["token_file"] = os.path.join(folder, values["token_file"])
    return values


def _check_profile(origin: str, document: Any) -> None:
    from hickorythread import schemas

    problems = schemas.check("profile", document)
    if problems:
        raise _problems_error(origin, problems)


def _read_token(path: str) -> str:
    if not path:
        raise CommandError(
            EXIT_USAGE,
            "no token file named; give --token-file FILE or name token_file "
            "in the profile",
        )
    try:
        with open(path, encoding="ascii") as source:
            token = source.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "it is not ASCII text"
        raise CommandError(
            EXIT_USAGE, f"cannot read the token file {path}: {reason}"
        ) from error
    if not token or not token.isprintable() or " " in token:
        raise CommandError(
            EXIT_USAGE, f"{path}: expected one line with the bearer token"
        )
    return token


def _submit(
    access: _Access, patch: dict[str, Any], timeout: float, format: Format
) -> int:
    node_client = access.node_client()
    platform_client = access.platform_client()
    patch_id = patch["id"]
    known = _ask(lambda: node_client.verdict(patch_id))
    if known.get("verdict") in ("accepted", "rejected"):
        raise CommandError(
            EXIT_REJECTED,
            f"{patch_id}: not published; the log already has a patch with "
            f"this id ({known['verdict']}); choose another id",
        )
    checked = _ask(lambda: node_client.check_patch(patch))
    if not checked.get("accepted"):
        lines = _rejection_lines(patch_id, checked)
        document = {"id": patch_id, "published": False} | checked
        _print(format, document, lines + ["the patch was not published"])
        return EXIT_REJECTED
    place = _publish(platform_client, patch)
    verdict = _wait_for_verdict(node_client, patch_id, place, timeout)
    return _print_verdict(format, patch_id, verdict)


def _publish(platform_client: Any, patch: dict[str, Any]) -> int:
    """Return the sequence of the published patch, 0 if none is named."""
    from hickorythread import client

    try:
        answer = platform_client.publish(patch)
    except client.UnreachableError as error:
        raise CommandError(
            EXIT_UNREACHABLE,
            str(error),
            "it is not known whether the patch was published; run "
            f"`hickorythread patch show {patch['id']}` before you submit it "
            "again",
        ) from error
    except client.RefusedError as error:
        raise CommandError(
            _refusal_code(error.status),
            str(error),
            "the patch was not published",
        ) from error
    sequence = answer.get("sequence", 0)
    return sequence if isinstance(sequence, int) else 0


def _refusal_code(status: int) -> int:
    if status in (401, 403):
        return EXIT_USAGE
    if status == 429:
        return EXIT_UNREACHABLE
    return EXIT_REJECTED


def _wait_for_verdict(
    node_client: Any, patch_id: str, sequence: int, timeout: float
) -> dict[str, Any]:
    import time

    from hickorythread import client

    deadline = time.monotonic() + timeout
    while True:
        reason, code = f"no verdict within {timeout:g} s", EXIT_REJECTED
        try:
            verdict: dict[str, Any] = node_client.verdict(patch_id)
            if _judges(verdict, sequence):
                return verdict
        except (client.UnreachableError, client.RefusedError) as error:
            reason, code = str(error), EXIT_UNREACHABLE
        if time.monotonic() >= deadline:
            raise CommandError(
                code,
                f"{patch_id}: published as entry {sequence}; {reason}",
                f"run `hickorythread patch show {patch_id}`",
            )
        time.sleep(VERDICT_POLL_SECONDS)


def _judges(verdict: dict[str, Any], sequence: int) -> bool:
    """Return whether a verdict is that on the entry just published.

    An entry of a lower sequence is another patch with the same id.
    """
    judged = verdict.get("sequence")
    if isinstance(judged, int) and judged < sequence:
        return False
    return verdict.get("verdict") in ("accepted", "rejected")


def _set_domain(
    access: _Access, name: str, state: str, timeout: float, format: Format
) -> int:
    version = _ask(access.node_client().status).get("version")
    if not isinstance(version, int):
        raise CommandError(
            EXIT_UNREACHABLE, "the node's status names no version"
        )
    patch = _domain_patch(name, state, version)
    from hickorythread import api

    problems = api.check_patch(patch)
    if problems:
        raise _problems_error(f"failure domain {name!r}", problems)
    return _submit(access, patch, timeout, format)


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


def _load(path: str) -> Any:
    from hickorythread import documents

    loaded = documents.read(path)
    if loaded.is_error():
        raise _problems_error(path, loaded.error)
    return loaded.ok


def _load_patch(path: str) -> dict[str, Any]:
    from hickorythread import api

    document = _load(path)
    problems = api.check_patch(document)
    if problems:
        raise _problems_error(path, problems)
    patch: dict[str, Any] = document
    return patch


def _ask(call: Callable[[], dict[str, Any]]) -> dict[str, Any]:
    from hickorythread import client

    try:
        return call()
    except client.UnreachableError as error:
        raise CommandError(
            EXIT_UNREACHABLE,
            str(error),
            "check the address and that the node runs, or name another node",
        ) from error
    except client.RefusedError as error:
        raise CommandError(_refusal_code(error.status), str(error)) from error


def _standins() -> Any:
    import importlib

    return importlib.import_module("hickorythread.standins")


def _serve(run: Callable[[], int | None]) -> int:
    import errno
    import socket

    try:
        return run() or EXIT_OK
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            raise CommandError(
                EXIT_ADDRESS_IN_USE,
                str(error),
                "stop the process that listens there or choose another "
                "address",
            ) from error
        wrong = (errno.EADDRNOTAVAIL, errno.EACCES)
        if error.errno in wrong or isinstance(error, socket.gaierror):
            raise CommandError(
                EXIT_USAGE,
                str(error),
                "name an address of this host and a port that this user "
                "may listen on",
            ) from error
        raise


def _split(addresses: str) -> list[str]:
    return [part.strip() for part in addresses.split(",") if part.strip()]


def _problems_error(origin: str, problems: list[Any]) -> CommandError:
    return CommandError(
        EXIT_USAGE, *(f"{origin}: {problem}" for problem in problems)
    )


def _report_check(
    format: Format, file: str, kind: str, problems: list[Any]
) -> int:
    answer = {
        "file": file,
        "kind": kind,
        "valid": not problems,
        "problems": [
            {"path": problem.path, "message": problem.message}
            for problem in problems
        ],
    }
    lines = [f"{file}: {problem}" for problem in problems]
    _print(format, answer, lines or [f"{file}: no mistakes ({kind})"])
    return EXIT_USAGE if problems else EXIT_OK


def _print_verdict(
    format: Format, patch_id: str, verdict: dict[str, Any]
) -> int:
    kind = verdict.get("verdict", "unknown")
    if kind == "accepted":
        lines = [f"{patch_id}: accepted as version {verdict.get('version')}"]
    elif kind == "rejected":
        lines = _rejection_lines(patch_id, verdict)
    else:
        lines = [f"{patch_id}: the node knows no verdict on this patch"]
    _print(format, verdict, lines)
    return EXIT_OK if kind == "accepted" else EXIT_REJECTED


def _rejection_lines(patch_id: str, answer: dict[str, Any]) -> list[str]:
    lines = [f"{patch_id}: rejected ({answer.get('kind') or 'no kind given'})"]
    for problem in answer.get("problems") or ():
        lines.append(f"  {problem.get('path')}: {problem.get('message')}")
    return lines


def _status_lines(answer: dict[str, Any]) -> list[str]:
    ready = "ready" if answer.get("ready") else "not ready"
    lines = [
        f"{answer.get('host_id')}: version {answer.get('version')}, "
        f"digest {_short(answer.get('digest'))}, {ready}"
    ]
    rows = [("REGION", "DOMAIN", "VERSION", "DIGEST", "HOSTS")]
    laggards = []
    for region, domains in sorted((answer.get("regions") or {}).items()):
        for domain, held in sorted(domains.items()):
            rows.extend(_count_rows(region, domain, held))
            laggards.extend(_laggard_lines(region, domain, held))
    return lines + _table(rows) + laggards


def _count_rows(region: str, domain: str, held: dict[str, Any]) -> list[Any]:
    return [
        (
            region,
            domain,
            str(item.get("version")),
            _short(item.get("digest")),
            str(item.get("count")),
        )
        for item in held.get("counts") or ()
    ]


def _laggard_lines(
    region: str, domain: str, held: dict[str, Any]
) -> list[str]:
    return [
        f"lagging: {item.get('host_id')} in {region}/{domain} holds version "
        f"{item.get('version')}"
        for item in held.get("laggards") or ()
    ]


def _table(rows: list[Any]) -> list[str]:
    widths = [max(len(row[at]) for row in rows) for at in range(len(rows[0]))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _short(digest: Any) -> str:
    return str(digest or "-")[:12]


def _flat_lines(value: Any, name: str = "") -> list[str]:
    if isinstance(value, dict):
        return [
            line
            for key in value
            for line in _flat_lines(value[key], f"{name}.{key}".strip("."))
        ]
    if isinstance(value, list):
        if all(not isinstance(item, dict | list) for item in value):
            shown = ", ".join(str(item) for item in value)
            return [f"{name}: {shown or '-'}"]
        return [
            line
            for index, item in enumerate(value)
            for line in _flat_lines(item, f"{name}.{index}")
        ]
    return [f"{name}: {value}"]


def _print(format: Format, document: Any, lines: list[str]) -> int:
    if format == "json":
        import json

        text = json.dumps(document, indent=2, sort_keys=True)
        lines = text.splitlines()
    _print_lines(sys.stdout, lines)
    return EXIT_OK


def _print_lines(stream: TextIO, lines: Iterable[str]) -> None:
    encoding = stream.encoding or "utf-8"
    for line in lines:
        shown = _escape(line).encode(encoding, "backslashreplace")
        stream.write(f"{shown.decode(encoding)}\n")
    stream.flush()


def _escape(line: str) -> str:
    """Escape control characters, which could change the terminal."""
    if line.isprintable():
        return line
    return "".join(
        character
        if character.isprintable()
        else character.encode("unicode_escape").decode("ascii")
        for character in line
    )
