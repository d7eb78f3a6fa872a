"""Commands that run the stand-ins as processes."""

import json
import signal

import eventlet

from hickorythread.standins import caller as caller_standin
from hickorythread.standins import platform as platform_standin
from hickorythread.standins import server as standin_server
from hickorythread.standins import target as target_standin

STOP_POLL_SECONDS = 0.1


def run_platform(
    *, address: str = "127.0.0.1:0", token: str = "", hosts: str = ""
) -> int:
    """Run the platform stand-in until SIGTERM.

    :param address: IP:port to listen on; port 0 selects a free port
    :param token: bearer token of the operators
    :param hosts: JSON file of the initial host list
    """
    initial_hosts = []
    if hosts:
        with open(hosts, encoding="utf-8") as file:
            initial_hosts = json.load(file)
    return _run_until_signal(
        platform_standin.Platform(address, token, initial_hosts).server
    )


def run_target(
    *,
    address: str = "127.0.0.1:0",
    name: str = "upstream",
    slots: int = 12,
    connections: int = 120,
    work_ms: float = 2.0,
    warm_seconds: float = 10.0,
    refuse_seconds: float = 1.0,
) -> int:
    """Run a target stand-in until SIGTERM.

    :param address: IP:port to listen on; port 0 selects a free port
    :param name: host id in its responses and records
    :param slots: maximum number of concurrent requests when warm
    :param connections: maximum number of open connections
    :param work_ms: service time of a request when warm, in ms
    :param warm_seconds: warm-up time after a start
    :param refuse_seconds: time without a listener after a crash
    """
    target = target_standin.Target(
        address,
        name,
        slots,
        connections,
        work_ms,
        warm_seconds,
        refuse_seconds,
    )
    return _run_until_signal(target.server)


def run_caller(
    *,
    entries: str,
    deployment: str = "guild",
    rate: float = 50.0,
    seconds: float = 10.0,
    seed: int = 1,
    results: str = "",
) -> int:
    """Send requests to entry nodes and print the counts as JSON.

    :param entries: caller addresses of nodes, separated by commas
    :param deployment: guild or cooperative
    :param rate: requests per second
    :param seconds: duration in seconds
    :param seed: seed of the random choices
    :param results: file to which each result is written as a JSON line
    """
    caller = caller_standin.Caller(
        entries.split(","), caller_standin.REQUEST_TEMPLATES[deployment], seed
    )
    counts = caller.run(rate, seconds)
    if results:
        with open(results, "w", encoding="utf-8") as file:
            for result in caller.results:
                file.write(json.dumps(result) + "\n")
    print(json.dumps(counts), flush=True)
    return 0


def _run_until_signal(server: standin_server.Server) -> int:
    server.start()
    print(json.dumps({"address": server.address}), flush=True)
    signals: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: signals.append(number))
    signal.signal(signal.SIGINT, lambda number, _: signals.append(number))
    # A signal handler cannot wake the eventlet hub, which resumes its poll
    # after a signal, so the list is checked periodically.
    while not signals:
        eventlet.sleep(STOP_POLL_SECONDS)
    server.stop()
    return 0


def main(arguments: list[str] | None = None) -> int:
    """Run a stand-in, like `hickorythread standin`."""
    import defopt

    result: int = defopt.run(
        {
            "platform": run_platform,
            "upstream": run_target,
            "caller": run_caller,
        },
        argv=arguments,
        cli_options="all",
    )
    return result
