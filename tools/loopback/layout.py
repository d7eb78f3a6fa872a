"""Hosts, failure domains, regions and services of a mesh on loopback."""

import os
import socket

REGIONS = {
    "launceston": "north",
    "hobart": "south",
    "devonport": "north",
    "kingston": "south",
}
SERVICES = ("spec-desk", "press-room")
PORT_NAMES = ("request", "readiness", "stream", "metrics", "target")
# Below the ports that the system gives to outgoing connections, which could
# take the port of a sidecar while it restarts.
FIRST_PORT = 20_000
LAST_PORT = 32_000


class Host:
    """One host with a sidecar and a target."""

    __slots__ = ("address", "failure_domain", "service", "ports")

    def __init__(self, address, failure_domain, service, ports):
        self.address = address
        self.failure_domain = failure_domain
        self.service = service
        self.ports = ports

    @property
    def region(self):
        return REGIONS[self.failure_domain]

    def at(self, port_name):
        """Return the address and port of one listener."""
        return self.address, self.ports[port_name]


class Layout:
    """Hold the hosts by address."""

    def __init__(self, count):
        ports = find_ports(len(PORT_NAMES))
        self.ports = dict(zip(PORT_NAMES, ports, strict=True))
        domains = list(REGIONS)
        services = SERVICES if count >= 2 * len(REGIONS) else SERVICES[:1]
        self.services = services
        self.hosts = {}
        for number in range(count):
            address = f"127.0.0.{number + 2}"
            self.hosts[address] = Host(
                address,
                domains[number % len(domains)],
                services[number // len(domains) % len(services)],
                self.ports,
            )

    @property
    def failure_domains(self):
        return sorted({host.failure_domain for host in self.hosts.values()})


def find_ports(count):
    """Return ports that no listener on a loopback address uses."""
    ports = []
    port = FIRST_PORT + os.getpid() * count % (LAST_PORT - FIRST_PORT)
    while len(ports) < count:
        try:
            socket.create_server(("", port)).close()
            ports.append(port)
        except OSError:
            pass
        port = FIRST_PORT + (port + 1 - FIRST_PORT) % (LAST_PORT - FIRST_PORT)
    return ports
