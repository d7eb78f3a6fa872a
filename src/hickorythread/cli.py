"""Command-line interface.

Commands import their libraries when they run, so that each loads only what it
uses and `node` can patch the standard library first.
"""

from collections.abc import Callable
from collections.abc import Iterable
import sys
from typing import Any

from hickorythread import command_errors
from hickorythread import early_signals
from hickorythread import exit_codes
from hickorythread import log_stream
from hickorythread import output
from hickorythread import profiles
from hickorythread import publishing

DESCRIPTION = "Distribute the configuration of a service mesh."
EXIT_CODES = """exit codes:
  0  success
  1  rejected or not found: the patch was rejected, no verdict arrived in
     time, or no log line matched
  2  invalid input or usage
  3  address already in use
  4  platform or node unreachable
  5  internal error: an invariant was violated or an exception not handled

Run `hickorythread COMMAND --help` for the options of a command."""


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] in (["node"], ["sidecar"]):
        _exit_on_sigterm()
        early_signals.ignore_until_started()
        log_stream.open_missing_descriptors()
    if arguments[:1] in (["node"], ["sidecar"], ["standin"]):
        # A sidecar has no locks that tasks wait for.
        _patch_standard_library(locks=arguments[0] != "sidecar")
    import defopt

    call = defopt.bind(
        _select_command(arguments),
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
    return _run_command(call)


def _run_command(call: Callable[[], int]) -> int:
    from hickorythread import exceptions

    try:
        return call()
    except command_errors.CommandError as error:
        output.print_lines(sys.stderr, error.lines)
        return error.code
    except exceptions.InvariantError as error:
        output.print_lines(sys.stderr, (f"invariant violated: {error}",))
        return exit_codes.EXIT_INVARIANT
    except BrokenPipeError:
        return _discard_output()
    except KeyboardInterrupt:
        return exit_codes.EXIT_INTERRUPTED
    except Exception:
        # Python exits with 1 on an uncaught exception, which means
        # "rejected" here.
        _print_traceback()
        return exit_codes.EXIT_INVARIANT


def _discard_output() -> int:
    """Redirect stdout to /dev/null after its reader closed the pipe.

    The flush at interpreter exit would otherwise raise again.
    """
    import os

    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return exit_codes.EXIT_OK


def _print_traceback() -> None:
    import traceback

    traceback.print_exc()


def _exit_on_sigterm() -> None:
    """Exit with 0 on SIGTERM while the process is loading its libraries."""
    import signal

    def exit_ok(signal_number: int, frame: Any) -> None:
        raise SystemExit(exit_codes.EXIT_OK)

    signal.signal(signal.SIGTERM, exit_ok)


def _patch_standard_library(locks: bool) -> None:
    """Make blocking calls of the standard library cooperative (eventlet).

    To replace locks, eventlet looks at every object that exists, which takes
    a sixth of the start of a process.
    """
    import os
    import warnings

    # Addresses are IP:port, so eventlet's DNS resolver is not needed. It
    # takes 12 MB of memory, and the binary is built without it.
    os.environ["EVENTLET_NO_GREENDNS"] = "yes"
    warnings.filterwarnings("ignore", message="\\nEventlet is deprecated")
    import eventlet

    # Without all=True, thread=True would leave sockets and sleeps blocking.
    eventlet.monkey_patch(all=True, thread=locks)


def _select_command(arguments: list[str]) -> dict[str, Any]:
    """Return only the requested command.

    defopt parses the docstrings of all commands that it is given.
    """
    command_name = arguments[0] if arguments else ""
    if command_name not in COMMANDS:
        return COMMANDS
    command = COMMANDS[command_name]
    if (
        isinstance(command, dict)
        and arguments[1:2]
        and arguments[1] in command
    ):
        command = {arguments[1]: command[arguments[1]]}
    return {command_name: command}


def node(*, settings: str) -> int:
    """Run a node until SIGTERM or SIGINT.

    Exits with 0 after a graceful shutdown, 2 if the settings are invalid, 3
    if an address is in use, 5 on an internal error.

    :param settings: settings file in JSON
    """
    from hickorythread import settings as settings_module

    return _run_process(
        settings, settings_module.Settings.from_config, "hickorythread.node"
    )


def sidecar(*, settings: str) -> int:
    """Run a sidecar on the users' platform until SIGTERM or SIGINT.

    Exits with 0 after a graceful shutdown, 2 if the settings are invalid, 3
    if an address is in use, 5 on an internal error.

    :param settings: settings file in JSON
    """
    from hickorythread.mesh import settings as settings_module
    from hickorythread.mesh import settings_file
    from hickorythread.platform import settings as platform_settings

    log_stream.guard_standard_streams()
    signature = settings_file.wait_until_readable(settings)
    return _run_process(
        settings,
        lambda document: settings_module.Settings.from_config(
            platform_settings.translate(document)
        ),
        "hickorythread.platform.sidecar",
        settings,
        signature,
    )


def _run_process(
    path: str, check: Callable[[Any], Any], module: str, *arguments: Any
) -> int:
    """Validate a settings file and pass its settings to a module's run()."""
    import importlib

    result = check(command_errors.load_document(path))
    if result.is_error():
        raise command_errors.usage_error(path, result.error)
    imported = importlib.import_module(module)
    return _run_server(lambda: imported.run(result.ok, *arguments))


def check(file: str, *, format: output.Format = "text") -> int:
    """Validate a settings or patch file and report all problems at once.

    A document with the key id, base or operations is a patch; any other is
    settings. Exits with 0 if the file is valid, otherwise 2.

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
    file: str,
    *,
    node: str = "",
    profile: str = "",
    format: output.Format = "text",
) -> int:
    """Validate a patch file, and test it on a node without publishing it.

    Without a node only the file itself is validated. Exits with 0 if the
    patch would be accepted now, 1 if it would be rejected, 2 if the file is
    invalid, 4 if no node responds.

    :param file: patch file in JSON
    :param node: operator addresses of nodes, IP:port, comma-separated
    :param profile: profile file in JSON
    :param format: text or json
    """
    patch = _load_patch(file)
    options = profiles.read_options(profile, node=node)
    if not options.nodes:
        text = f"{file}: no mistakes; not tested on a node, as none was given"
        output.print_result(format, {"accepted": None, "problems": []}, [text])
        return exit_codes.EXIT_OK
    response = publishing.call_node(
        lambda: options.node_client().check_patch(patch)
    )
    if response.get("accepted"):
        text = f"{patch['id']}: would be accepted"
        output.print_result(format, response, [text])
        return exit_codes.EXIT_OK
    output.print_result(
        format, response, output.rejection_lines(patch["id"], response)
    )
    return exit_codes.EXIT_REJECTED


def patch_submit(
    file: str,
    *,
    node: str = "",
    platform: str = "",
    token_file: str = "",
    profile: str = "",
    timeout: float = 15.0,
    format: output.Format = "text",
) -> int:
    """Publish a patch and wait until a node reports its verdict.

    The patch is first validated locally and on the node; a patch that would
    be rejected is not published. Exits with 0 if the patch was accepted, 1 if
    it was rejected or no verdict arrived in time, 2 if the input is invalid,
    4 if the node or the platform does not respond.

    :param file: patch file in JSON
    :param node: operator addresses of nodes, IP:port, comma-separated
    :param platform: address of the platform, IP:port
    :param token_file: file with the operators' bearer token
    :param profile: profile file in JSON; flags take precedence over it
    :param timeout: seconds to wait for the verdict
    :param format: text or json
    """
    patch = _load_patch(file)
    options = profiles.read_options(profile, node, platform, token_file)
    return publishing.submit(options, patch, timeout, format)


def patch_show(
    id: str,
    *,
    node: str = "",
    profile: str = "",
    format: output.Format = "text",
) -> int:
    """Show the verdict on a published patch.

    Exits with 0 if the patch was accepted, 1 if it was rejected or the node
    does not know it, 4 if no node responds.

    :param id: id of the patch
    :param node: operator addresses of nodes, IP:port, comma-separated
    :param profile: profile file in JSON
    :param format: text or json
    """
    client = profiles.read_options(profile, node=node).node_client()
    verdict = publishing.call_node(lambda: client.verdict(id))
    return publishing.print_verdict(format, id, verdict)


def domain_out(
    name: str,
    *,
    node: str = "",
    platform: str = "",
    token_file: str = "",
    profile: str = "",
    timeout: float = 15.0,
    format: output.Format = "text",
) -> int:
    """Take a failure domain out of service.

    Publishes a patch that sets only the state of this domain, so it conflicts
    only with other changes to the same domain. Exit codes as for
    `patch submit`.

    :param name: name of the failure domain
    :param node: operator addresses of nodes, IP:port, comma-separated
    :param platform: address of the platform, IP:port
    :param token_file: file with the operators' bearer token
    :param profile: profile file in JSON; flags take precedence over it
    :param timeout: seconds to wait for the verdict
    :param format: text or json
    """
    options = profiles.read_options(profile, node, platform, token_file)
    return publishing.set_domain(options, name, "out", timeout, format)


def domain_in(
    name: str,
    *,
    node: str = "",
    platform: str = "",
    token_file: str = "",
    profile: str = "",
    timeout: float = 15.0,
    format: output.Format = "text",
) -> int:
    """Bring a failure domain back into service.

    Its targets count as cold, and their load ramps up gradually. Exit codes
    as for `patch submit`.

    :param name: name of the failure domain
    :param node: operator addresses of nodes, IP:port, comma-separated
    :param platform: address of the platform, IP:port
    :param token_file: file with the operators' bearer token
    :param profile: profile file in JSON; flags take precedence over it
    :param timeout: seconds to wait for the verdict
    :param format: text or json
    """
    options = profiles.read_options(profile, node, platform, token_file)
    return publishing.set_domain(options, name, "in", timeout, format)


def status(
    *, node: str = "", profile: str = "", format: output.Format = "text"
) -> int:
    """Show configuration version and digest per region and failure domain.

    Hosts that lag behind are listed by name. Exits with 0 if a node
    responded, otherwise 4.

    :param node: operator addresses of nodes, IP:port, comma-separated
    :param profile: profile file in JSON
    :param format: text or json
    """
    client = profiles.read_options(profile, node=node).node_client()
    response = publishing.call_node(client.status)
    output.print_result(format, response, output.status_lines(response))
    return exit_codes.EXIT_OK


def explain(
    request: str,
    *,
    tenant: str = "",
    node: str = "",
    profile: str = "",
    format: output.Format = "text",
) -> int:
    """Show how a node would route a request, without sending it.

    Exits with 0 if the node responded, 2 if the request is malformed, 4 if no
    node responds.

    :param request: method and path, for example "GET /specs/7"
    :param tenant: client account, the value of the X-Tenant header
    :param node: operator addresses of nodes, IP:port, comma-separated
    :param profile: profile file in JSON
    :param format: text or json
    """
    method, path = _split_request(request)
    client = profiles.read_options(profile, node=node).node_client()
    response = publishing.call_node(
        lambda: client.explain(method.upper(), path, tenant)
    )
    output.print_result(format, response, output.flatten(response))
    return exit_codes.EXIT_OK


def explain_route(
    request: str,
    *,
    sidecar: str,
    host: str,
    account: str = "",
    timeout: float | None = None,
    format: output.Format = "text",
) -> int:
    """Show where a sidecar would send a request now, without sending it.

    Exits with 0 if the sidecar responded, also if it would refuse the
    request, 2 if the request or an option is malformed, 4 if the sidecar does
    not respond.

    :param request: method and path, for example "GET /specs/7"
    :param sidecar: metrics address of the sidecar, IP:port
    :param host: Host header of the request
    :param account: name of the client account, not its key
    :param timeout: seconds that the client allows for the request
    :param format: text or json
    """
    from hickorythread import client
    from hickorythread import explanation_text

    method, path = _split_request(request)
    values = {"host": host, "path": path, "method": method.upper()}
    if account:
        values["account"] = account
    if timeout is not None:
        values["timeout"] = str(timeout)
    node_client = client.NodeClient([sidecar])

    def ask() -> dict[str, Any]:
        try:
            return node_client.explain_route(values)
        except client.RefusedError as error:
            raise command_errors.CommandError(
                exit_codes.EXIT_USAGE, str(error)
            ) from error

    response = publishing.call_node(ask)
    output.print_result(format, response, explanation_text.lines(response))
    return exit_codes.EXIT_OK


def _split_request(request: str) -> tuple[str, str]:
    """Return the method and the path of a request."""
    method, _, path = request.partition(" ")
    if not method.isalpha() or not path.startswith("/") or " " in path:
        raise command_errors.CommandError(
            exit_codes.EXIT_USAGE,
            f"invalid request {request!r}: expected METHOD and path, for "
            'example "GET /specs/7"',
        )
    return method, path


def trace(request: str, *files: str, format: output.Format = "text") -> int:
    """Show the log lines of one request from several nodes, by time.

    Reads standard input if no file is given. Exits with 0 if a line has the
    request id, 1 if none has, 2 if a file cannot be read.

    :param request: id of the request
    :param files: log files of the nodes
    :param format: text or json
    """
    from hickorythread import traces

    log_lines = traces.find_request_lines(_read_lines(files), request)
    if not log_lines:
        raise command_errors.CommandError(
            exit_codes.EXIT_REJECTED,
            f"no log line has the request id {request}; a node that exceeds "
            "its log limit drops the lines of successful requests first "
            "(event lines_dropped)",
        )
    document = {"request": request, "lines": traces.to_document(log_lines)}
    output.print_result(
        format, document, [traces.format_line(line) for line in log_lines]
    )
    return exit_codes.EXIT_OK


def _read_lines(files: tuple[str, ...]) -> Iterable[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        try:
            with open(path, encoding="utf-8", errors="replace") as source:
                yield from source
        except OSError as error:
            raise command_errors.CommandError(
                exit_codes.EXIT_USAGE, f"cannot read {path}: {error.strerror}"
            ) from error


def standin_platform(
    *,
    address: str = "127.0.0.1:7700",
    hosts: str = "",
    token: str = "operator",
) -> int:
    """Run a stand-in for the platform's configuration service.

    :param address: IP:port to listen on
    :param hosts: JSON file of the initial host list
    :param token: bearer token that operators must send
    """
    standins = _import_standins()
    return _run_server(
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
    """Run a stand-in for a target.

    :param address: IP:port to listen on
    :param name: name of the target in its responses
    :param slots: maximum number of concurrent requests
    :param connections: maximum number of open connections
    :param work_ms: service time of a request when warm, in ms
    :param warm_seconds: warm-up time after a start
    :param refuse_seconds: time without a listener after a crash
    """
    standins = _import_standins()
    return _run_server(
        lambda: standins.run_target(
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
    """Run a stand-in for callers, which sends requests to entry nodes.

    :param entry: caller addresses of entry nodes, IP:port, comma-separated
    :param deployment: guild or cooperative
    :param rate: requests per second
    :param seconds: duration in seconds
    :param seed: seed of the random choices
    :param results: file to which each result is written as a JSON line
    """
    standins = _import_standins()
    return _run_server(
        lambda: standins.run_caller(
            entries=",".join(profiles.split_addresses(entry)),
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
    "explain-route": explain_route,
    "trace": trace,
    "standin": {
        "platform": standin_platform,
        # The command calls a target an upstream.
        "upstream": standin_upstream,
        "caller": standin_caller,
    },
}


def _load_patch(path: str) -> dict[str, Any]:
    from hickorythread import api

    document = command_errors.load_document(path)
    problems = api.check_patch(document)
    if problems:
        raise command_errors.usage_error(path, problems)
    patch: dict[str, Any] = document
    return patch


def _import_standins() -> Any:
    import importlib

    return importlib.import_module("hickorythread.standins")


def _run_server(run: Callable[[], int | None]) -> int:
    import errno
    import socket

    try:
        return run() or exit_codes.EXIT_OK
    except OSError as error:
        if error.errno == errno.EADDRINUSE:
            raise command_errors.CommandError(
                exit_codes.EXIT_ADDRESS_IN_USE,
                str(error),
                "stop the process that listens there or choose another "
                "address",
            ) from error
        unusable = (errno.EADDRNOTAVAIL, errno.EACCES)
        if error.errno in unusable or isinstance(error, socket.gaierror):
            raise command_errors.CommandError(
                exit_codes.EXIT_USAGE,
                str(error),
                "use an address of this host and a port that this user may "
                "listen on",
            ) from error
        raise


def _report_check(
    format: output.Format, file: str, kind: str, problems: list[Any]
) -> int:
    report = {
        "file": file,
        "kind": kind,
        "valid": not problems,
        "problems": [
            {"path": problem.path, "message": problem.message}
            for problem in problems
        ],
    }
    lines = [f"{file}: {problem}" for problem in problems]
    output.print_result(
        format, report, lines or [f"{file}: no mistakes ({kind})"]
    )
    return exit_codes.EXIT_USAGE if problems else exit_codes.EXIT_OK
