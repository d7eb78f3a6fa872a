"""Measure a request on a persistent connection at each layer of urllib3.

Prints the median CPU and wall time of a request for the layers of urllib3 and
for TargetClient.
"""

import argparse
import json
import os
import subprocess
import sys
import time

import eventlet

eventlet.monkey_patch()

import urllib3  # noqa: E402
import urllib3.connection  # noqa: E402

from hickorythread import adapters  # noqa: E402
from hickorythread import events  # noqa: E402
from hickorythread import utils  # noqa: E402

BODY = b'{"panel": "P-12", "thickness_mm": 19}'
HEADERS = {
    "X-Tenant": "builders",
    "Content-Type": "application/json",
    "X-Deadline-Unix-Ms": "9999999999999",
}


def make_manager_sender(address):
    manager = urllib3.PoolManager(retries=False)
    url = f"http://{address}/specs"

    def send():
        manager.request("POST", url, body=BODY, headers=HEADERS)

    return send


def make_pool_sender(address):
    host, port = utils.split_address(address)
    pool = urllib3.HTTPConnectionPool(host, port, retries=False)

    def send():
        pool.urlopen(
            "POST", "/specs", body=BODY, headers=HEADERS, retries=False
        )

    return send


def make_connection_sender(address):
    host, port = utils.split_address(address)
    connection = urllib3.connection.HTTPConnection(host, port)

    def send():
        connection.request("POST", "/specs", body=BODY, headers=HEADERS)
        connection.getresponse().read()

    return send


def make_client_sender(address):
    client = adapters.TargetClient(address, 12)
    headers = [list(item) for item in HEADERS.items()]

    def send():
        deadline = time.monotonic() + 2
        client.run(
            events.RunOnTarget(1, "POST", "/specs", headers, BODY, deadline)
        )

    return send


SENDER_FACTORIES = {
    "PoolManager.request": make_manager_sender,
    "HTTPConnectionPool.urlopen": make_pool_sender,
    "HTTPConnection.request": make_connection_sender,
    # Measurements keep the name upstream for a target.
    "UpstreamClient.run": make_client_sender,
}


def measure(send, count):
    """Return the mean CPU and wall time of a request in microseconds."""
    cpu, wall = time.process_time(), time.perf_counter()
    for _ in range(count):
        send()
    cpu, wall = time.process_time() - cpu, time.perf_counter() - wall
    return cpu / count * 1e6, wall / count * 1e6


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=500)
    parser.add_argument("--rounds", type=int, default=7)
    options = parser.parse_args()
    command = [sys.executable, "-W", "ignore", "-m", "hickorythread.standins"]
    command += ["upstream", "--work-ms", "0", "--warm-seconds", "0"]
    server = subprocess.Popen(
        command, stdout=subprocess.PIPE, env=dict(os.environ)
    )
    try:
        address = json.loads(server.stdout.readline())["address"]
        senders = {
            name: make_sender(address)
            for name, make_sender in SENDER_FACTORIES.items()
        }
        times = {name: [] for name in SENDER_FACTORIES}
        for name in list(SENDER_FACTORIES) * options.rounds:
            times[name].append(measure(senders[name], options.count))
    finally:
        server.terminate()
        server.wait()
    for name, pairs in times.items():
        cpu = sorted(pair[0] for pair in pairs)[len(pairs) // 2]
        wall = sorted(pair[1] for pair in pairs)[len(pairs) // 2]
        print(f"{name:28} cpu {cpu:6.0f} us   wall {wall:6.0f} us")


if __name__ == "__main__":
    main()
