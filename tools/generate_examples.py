"""Generate the settings and patches in examples/.

Without arguments the files are written; --check compares them with the
committed files and exits 1 if they differ.
"""

import argparse
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"

GUILD = {
    "name": "guild",
    "source_region": "north-tas",
    "first_port": 21000,
    "slots": 12,
    "connections": 120,
    "failure_domains": {
        "launceston": "north-tas",
        "hobart": "south-tas",
        "devonport": "north-tas",
        "kingston": "south-tas",
    },
    "services": {"spec-desk": 5, "commission-desk": 4, "kiln-desk": 4},
    "tenants": [{"name": "builders", "weight": 4}, {"name": "guild"}],
    "routes": [
        {"name": "specs", "service": "spec-desk"},
        {"name": "commissions", "service": "commission-desk", "write": True},
        {"name": "kilns", "service": "kiln-desk", "write": True},
    ],
    "domain_out": "hobart",
    "dangling": "spec-desk",
}
COOPERATIVE = {
    "name": "cooperative",
    "source_region": "oyo",
    "first_port": 22000,
    "slots": 6,
    "connections": 130,
    "failure_domains": {
        "oyo-a": "oyo",
        "kwara-a": "kwara",
        "oyo-b": "oyo",
        "kwara-b": "kwara",
    },
    "services": {"chartdesk": 6, "cuttery": 4, "ledger": 4},
    "tenants": [{"name": "members", "weight": 4}, {"name": "cooperative"}],
    "routes": [
        {"name": "charts", "service": "chartdesk"},
        {"name": "orders", "service": "cuttery", "write": True},
        {
            "name": "dues",
            "service": "ledger",
            "write": True,
            "home_regions": ["oyo"],
        },
        {
            "name": "patterns",
            "service": "chartdesk",
            "tenants": ["cooperative"],
        },
        {
            "name": "stock",
            "service": "chartdesk",
            "tenants": ["cooperative"],
        },
    ],
    "domain_out": "oyo-b",
    "dangling": "chartdesk",
}
DEPLOYMENTS = (GUILD, COOPERATIVE)


def build_operation(op, value):
    return {"op": op, "value": value}


def build_route(route):
    """Return the document of a route.

    A write route is not idempotent: requests get a key and are never retried.
    """
    document = {
        "name": route["name"],
        "service": route["service"],
        "path_prefix": f"/{route['name']}",
    }
    if route.get("write"):
        document |= {
            "methods": ["POST"],
            "idempotent": False,
            "retry": False,
            "priority": "write",
            "deadline_ms": 5000,
        }
    for name in ("tenants", "home_regions"):
        if name in route:
            document[name] = route[name]
    return document


def build_patch(deployment):
    """Return the first patch, which creates the whole configuration."""
    domains = [
        build_operation("put_failure_domain", {"name": name, "region": region})
        for name, region in deployment["failure_domains"].items()
    ]
    services = [
        build_operation(
            "put_service",
            {
                "name": name,
                "slots": deployment["slots"],
                "connections": deployment["connections"],
                "connect_ms": 1,
                "ramp_seconds": 10,
            },
        )
        for name in deployment["services"]
    ]
    client_accounts = [
        build_operation("put_tenant", client_account)
        for client_account in deployment["tenants"]
    ]
    routes = [
        build_operation("put_route", build_route(route))
        for route in deployment["routes"]
    ]
    return {
        "id": f"{deployment['name']}-0001",
        "base": 0,
        "operations": domains + services + client_accounts + routes,
    }


def build_other_patches(deployment):
    """Return further patches by file name.

    They remove a failure domain, leave a route without its service, and use
    an old base version.
    """
    name = deployment["name"]
    domain = deployment["domain_out"]
    out = build_operation(
        "set_failure_domain_state", {"name": domain, "state": "out"}
    )
    dangling = build_operation("remove_service", deployment["dangling"])
    old = build_operation("put_tenant", {"name": "visitors"})
    return {
        f"patch-{domain}-out.json": {
            "id": f"{name}-{domain}-out",
            "base": 1,
            "operations": [out],
        },
        "patch-dangling-route.json": {
            "id": f"{name}-dangling-route",
            "base": 1,
            "operations": [dangling],
        },
        "patch-old-base.json": {
            "id": f"{name}-old-base",
            "base": 0,
            "operations": [old],
        },
    }


def build_nodes(deployment):
    """Return the settings of every node.

    Nodes are assigned to failure domains in rotation, which continues from
    one service to the next, so that the targets spread over the domains as
    evenly as their number allows.
    """
    domains = list(deployment["failure_domains"].items())
    port = deployment["first_port"]
    nodes = []
    for service, count in deployment["services"].items():
        for number in range(1, count + 1):
            domain, region = domains[len(nodes) % len(domains)]
            addresses = [
                f"127.0.0.1:{port + offset}" for offset in range(1, 5)
            ]
            port += 10
            nodes.append(
                {
                    "host_id": f"{service}-{number}",
                    "region": region,
                    "failure_domain": domain,
                    "service": service,
                    "stream_address": addresses[0],
                    "caller_address": addresses[1],
                    "operator_address": addresses[2],
                    "upstream_address": addresses[3],
                    "platform_address": (
                        f"127.0.0.1:{deployment['first_port']}"
                    ),
                    "source_region": deployment["source_region"],
                }
            )
    return nodes


def build_host(node):
    """Return the entry of a node in the platform's host list."""
    return {
        "id": node["host_id"],
        "region": node["region"],
        "failure_domain": node["failure_domain"],
        "service": node["service"],
        "stream_address": node["stream_address"],
        "http_address": node["caller_address"],
        "state": "live",
    }


def build_files(deployment):
    """Return the text of every file by its path relative to examples/."""
    nodes = build_nodes(deployment)
    documents = {"patch-0001.json": build_patch(deployment)}
    documents |= build_other_patches(deployment)
    documents["hosts.json"] = [build_host(node) for node in nodes]
    for node in nodes:
        documents[f"nodes/{node['host_id']}.json"] = node
    return {
        f"{deployment['name']}/{path}": json.dumps(document, indent=2) + "\n"
        for path, document in documents.items()
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    check = parser.parse_args().check
    files = {}
    for deployment in DEPLOYMENTS:
        files |= build_files(deployment)
    outdated = []
    for name, text in files.items():
        path = ROOT / name
        if path.exists() and path.read_text(encoding="utf-8") == text:
            continue
        outdated.append(name)
        if not check:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
    existing = {path for path in ROOT.rglob("*.json")}
    unexpected = sorted(existing - {ROOT / name for name in files})
    for name in outdated:
        print(f"{'differs' if check else 'wrote'}: {name}")
    for path in unexpected:
        print(f"not generated: {path.relative_to(ROOT)}")
    return 1 if unexpected or (check and outdated) else 0


if __name__ == "__main__":
    sys.exit(main())
