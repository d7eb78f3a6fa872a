"""Builders of test data for the data path of the mesh."""

import random

from hickorythread import account_keys
from hickorythread import messages as base_messages
from hickorythread.mesh import account_lease
from hickorythread.mesh import entry
from hickorythread.mesh import events
from hickorythread.mesh import execution
from hickorythread.mesh import messages
from hickorythread.mesh import models
from hickorythread.mesh import proofs
from hickorythread.mesh import settings
from hickorythread.mesh import view
from tools.loopback import documents

REGIONS = {
    "launceston": "north",
    "devonport": "north",
    "hobart": "south",
}
DOMAINS = ("launceston", "devonport", "hobart")

make_configuration_document = documents.make_configuration_document
make_entry_document = documents.make_entry_document


def make_settings_document(number=1, **values):
    fields = {
        "host_id": f"10.0.0.{number}",
        "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
        "regions": REGIONS,
        "service": "spec-desk",
        "target_address": f"10.0.0.{number}:8000",
        "request_address": f"10.0.0.{number}:8001",
        "readiness_address": f"10.0.0.{number}:8002",
        "stream_port": 7600,
        "metrics_port": 7615,
        "source_address": "10.0.9.1:8627",
        "grace_seconds": 6,
        "retry_share": 0.2,
        "retry_slack": 60,
        "warmup_rate_factor": 1.5,
        "warmup_burst": 5,
    }
    return fields | values


def make_settings(number=1, **values):
    return settings.Settings(**make_settings_document(number, **values))


def make_route(name="specs", **values):
    fields = {
        "name": name,
        "host": "specs.example",
        "prefix": f"/{name}/",
        "destinations": [("spec-desk", 1.0)],
        "idempotent": True,
        "timeout": 1.0,
        "objective": 0.5,
        "attempts": 2,
        "priority": 1,
        "home_regions": [],
    }
    return models.Route(**(fields | values))


def make_configuration(version=1, routes=None, **values):
    fields = {
        "services": {
            "spec-desk": models.Service("spec-desk", "/healthz", 120, 3.0, 16)
        },
        "limits": models.Limits(16384, 1 << 20, 3.0, 15.0),
    }
    if routes is None:
        routes = [make_route()]
    return models.Configuration(version, routes, **(fields | values))


def make_target(number=1, **values):
    fields = {
        "id": f"t{number}",
        "service": "spec-desk",
        "address": f"10.0.0.{number}:8000",
        "failure_domain": DOMAINS[(number - 1) % len(DOMAINS)],
        "slots": 4,
        "draining": False,
    }
    return models.Target(**(fields | values))


def make_position(revision, era=models.UNKNOWN_ERA):
    return models.Position(era, revision)


def make_view(targets=3, configuration=None):
    new_view = view.View()
    new_view.put_configuration(configuration or make_configuration())
    target_list = [make_target(number) for number in range(1, targets + 1)]
    new_view.replace_targets(
        {target.id: target for target in target_list}, make_position(5), 0.0
    )
    return new_view


def make_lease(settings=None, proof=None, suspended_seconds=lambda: 0.0):
    """Build a lease, which holds for good if the settings set no bound."""
    return account_lease.AccountLease(
        settings or make_settings(),
        proof or proofs.TopicProof(0.0),
        suspended_seconds,
    )


def make_account(name="acme", **values):
    """Build a client account whose key is its name."""
    fields = {
        "name": name,
        "key_digests": [account_keys.digest(name)],
        "priority": None,
        "rate": 0.0,
        "burst": 0.0,
        "home_regions": [],
    }
    return models.Account(**(fields | values))


def make_entry(made_view=None, number=1, connected=3, seed=1, lease=None):
    made_view = made_view or make_view()
    settings = make_settings(number)
    plane = entry.EntryPlane(
        settings,
        made_view,
        random.Random(seed),
        lease or make_lease(settings),
    )
    plane.view_changed()
    for other in range(1, connected + 1):
        plane.peer_connected(f"10.0.0.{other}")
    return plane


def make_execution(made_view=None, number=1, now=0.0, alive=True, **values):
    """Build the plane of a host; values replace some of its settings."""
    made_view = made_view or make_view()
    settings = make_settings(number, **values)
    plane = execution.ExecutionPlane(settings, made_view, now)
    plane.tick(now)
    if alive:
        plane.handle_probe_result(
            events.TargetResponse(200, [], b"", instance=f"t{number}"), now
        )
    return plane


def make_request(number=1, **values):
    fields = {
        "number": number,
        "request_id": f"r{number}",
        "method": "GET",
        "host": "specs.example",
        "path": "/specs/1",
        "headers": [["Host", "specs.example"]],
        "body": b"",
        "received_at": 0.0,
        "remaining": 2.0,
    }
    return events.Request(**(fields | values))


def make_call(call_id=1, **values):
    fields = {
        "call_id": call_id,
        "request_id": f"r{call_id}",
        "service": "spec-desk",
        "route": "specs",
        "method": "GET",
        "path": "/specs/1",
        "headers": [],
        "body": b"",
        "remaining": 1.0,
        "objective": 0.5,
        "idempotent": True,
        "priority": 1,
        "caller_service": "spec-desk",
    }
    return messages.Forward(**(fields | values))


def make_reply(call_id, outcome, status=200, body=b"", reason="", load=None):
    return base_messages.Reply(
        call_id,
        outcome,
        status,
        [],
        body,
        len(body),
        reason,
        0.0,
        load or [1, 0, 4],
    )


def make_state(instance="", **values):
    """Return the announcement of a target that accepts requests."""
    return messages.TargetState(
        "spec-desk", True, "", [0, 0, 4], instance, **values
    )


class WatchHandler:
    """Keep a watcher active and record its reports."""

    def __init__(self):
        self.is_active = True
        self.initial_position = None
        self.reports = []
        self.applied = []
        self.stop_count = 0

    def reads_topic(self, topic):
        return self.is_active

    def known_position(self, topic):
        return self.initial_position

    def call_started(self, topic, wait):
        pass

    def call_ended(self, topic, result):
        pass

    def watch_timeout(self, topic):
        return 25.0

    def batch_delay(self):
        return 0.25

    def apply_batch(self, topic, batch, complete):
        self.applied.append((batch.revision, complete))

    def source_status_changed(self, topic, failure):
        self.reports.append(failure)

    def reading_stopped(self, topic):
        self.stop_count += 1


def of_type(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def sent_messages(actions, kind):
    return [
        action.message
        for action in of_type(actions, events.Send)
        if isinstance(action.message, kind)
    ]
