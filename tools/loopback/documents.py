"""Entries and configurations as the platform's store holds them."""


def make_entry_document(**values):
    return {
        "service": "spec-desk",
        "address": "10.0.0.1:8080",
        "zone": "launceston",
        "version": "v1",
        "concurrency": 12,
        "phase": "ready",
        "warmup_left_ms": 1500,
        "seq": 4,
        "born": 1790000000000,
    } | values


def make_configuration_document(version=7):
    return {
        "version": version,
        "services": [
            {
                "name": "spec-desk",
                "health_path": "/healthz",
                "max_conns": 120,
                "warmup_s": 3.0,
                "warmup_per_s": 16.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "hosts": [
            {
                "host": "a.example",
                "paths": [
                    {
                        "name": "one",
                        "prefix": "/one/",
                        "type": "non_idempotent",
                        "timeout_ms": 1200,
                        "slo_ms": 600,
                        "priority": 1,
                        "service": "spec-desk",
                        "attempts": 2,
                        "allowed_regions": ["north"],
                    },
                    {
                        "name": "two",
                        "prefix": "/two/",
                        "type": "idempotent",
                        "timeout_ms": 1000,
                        "slo_ms": 500,
                        "priority": 2,
                        "split": [
                            {"service": "spec-desk", "weight": 90},
                            {"service": "other", "weight": 10},
                        ],
                        "attempts": 3,
                        "allowed_regions": [],
                    },
                ],
            }
        ],
    }


def make_long_timeout_document(version):
    """Return a configuration with timeouts long enough for a busy machine.

    No route is split, because the first request to a split route may go to
    any of its services.
    """
    document = make_configuration_document(version)
    for route in document["hosts"][0]["paths"]:
        route["timeout_ms"] = 20_000
        route["slo_ms"] = 10_000
        route.pop("split", None)
        route["service"] = "spec-desk"
    return document
