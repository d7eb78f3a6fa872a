"""Examples: the committed files are valid and match their generator."""

import collections
import json
import pathlib

import pytest

from hickorythread import acceptance
from hickorythread import models
from hickorythread import settings
from tools import generate_examples

DEPLOYMENTS = pytest.mark.parametrize(
    "deployment", generate_examples.DEPLOYMENTS, ids=lambda item: item["name"]
)


def load(deployment, name):
    path = generate_examples.ROOT / deployment["name"] / name
    return json.loads(path.read_text(encoding="utf-8"))


def apply_patch(deployment, configuration, sequence, name):
    entry = models.LogEntry(sequence, 1000, load(deployment, name))
    return acceptance.accept(configuration, entry)


@DEPLOYMENTS
def test_committed_files_are_the_generated_ones(deployment):
    """R3: guards against examples that differ from their generator."""
    root = generate_examples.ROOT / deployment["name"]
    generated = generate_examples.build_files(deployment)
    committed = {
        str(path.relative_to(generate_examples.ROOT)): path.read_text("utf-8")
        for path in pathlib.Path(root).rglob("*.json")
    }
    assert committed == generated


@DEPLOYMENTS
def test_nodes_are_valid_and_spread_evenly(deployment):
    """R5: guards against all hosts of a service in one failure domain."""
    nodes = [
        settings.Settings.from_config(
            load(deployment, f"nodes/{host['id']}.json")
        ).ok
        for host in load(deployment, "hosts.json")
    ]
    counts = collections.Counter(node.failure_domain for node in nodes)
    assert max(counts.values()) - min(counts.values()) <= 1
    for service, count in deployment["services"].items():
        hosts_per_domain = collections.Counter(
            node.failure_domain for node in nodes if node.service == service
        )
        assert sum(hosts_per_domain.values()) == count
        assert (
            len(hosts_per_domain) == 4 and max(hosts_per_domain.values()) <= 2
        )
    addresses = [
        getattr(node, f"{kind}_address")
        for node in nodes
        for kind in ("stream", "caller", "operator", "upstream")
    ]
    assert len(set(addresses)) == len(addresses)
    assert {node.platform_address for node in nodes}.isdisjoint(addresses)


@DEPLOYMENTS
def test_patches_have_the_verdict_that_they_show(deployment):
    """R2: guards against an example patch with an unexpected verdict."""
    empty = acceptance.empty_configuration()
    first = apply_patch(deployment, empty, 1, "patch-0001.json").ok
    domain = deployment["domain_out"]
    out = apply_patch(deployment, first, 2, f"patch-{domain}-out.json").ok
    assert out.failure_domains[domain].state == "out"
    dangling = apply_patch(deployment, first, 2, "patch-dangling-route.json")
    assert dangling.error.kind == "invalid"
    old = apply_patch(deployment, first, 2, "patch-old-base.json")
    assert old.error.kind == "conflict"
