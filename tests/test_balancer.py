"""Tests of the balancer: tiers, reported loads and outlier ejection."""

import random

from hickorythread import balancer
from tests import builders

DOMAINS = ["launceston"] * 4 + ["devonport"] * 2 + ["hobart"] * 2


def new_balancer(domains=DOMAINS):
    load_balancer = balancer.Balancer(
        "me", "north-tas", "launceston", random.Random(1)
    )
    load_balancer.configuration_changed(builders.guild_configuration())
    hosts = [
        builders.host(f"h{number}", domain)
        for number, domain in enumerate(domains)
    ]
    load_balancer.hosts_changed(hosts, [])
    return load_balancer


def chosen_hosts(load_balancer, home_regions=None, now=0.0):
    choices = [
        load_balancer.choose("spec-desk", home_regions, now) for _ in range(50)
    ]
    return {choice.host_id for choice in choices if choice}


def test_saturated_tier_gives_way_to_the_next():
    """R4: guards against sending more calls to saturated targets."""
    load_balancer = new_balancer()
    assert chosen_hosts(load_balancer) == {"h0", "h1", "h2", "h3"}
    for name in ("h0", "h1", "h2", "h3"):
        load_balancer.target(name).update_load([11, 0, 12, 0], 0.0)
    assert chosen_hosts(load_balancer) == {"h4", "h5"}
    assert chosen_hosts(load_balancer, now=2.0) == {"h0", "h1", "h2", "h3"}


def test_home_regions_limit_the_candidates():
    """R6: guards against a call to a region outside the home regions."""
    load_balancer = new_balancer(["hobart"] * 2)
    assert chosen_hosts(load_balancer) == {"h0", "h1"}
    assert chosen_hosts(load_balancer, frozenset(["north-tas"])) == set()


def test_removed_domain_and_leaving_host_are_not_chosen():
    """R5, R10: guards against new calls after a removal is known."""
    load_balancer = new_balancer()
    configuration = builders.guild_configuration()
    configuration.failure_domains["launceston"].state = "out"
    load_balancer.configuration_changed(configuration)
    load_balancer.hosts_changed(
        [builders.host("h4", "devonport", state="leaving")], []
    )
    assert chosen_hosts(load_balancer) == {"h5"}
    load_balancer.suspend("h5", 0.0)
    load_balancer.peer_state_changed("h5", usable=False)
    assert chosen_hosts(load_balancer) == {"h6", "h7"}
    load_balancer.tick(9.0)
    assert chosen_hosts(load_balancer) == {"h6", "h7"}
    load_balancer.peer_state_changed("h5", usable=True)
    assert chosen_hosts(load_balancer) == {"h5"}


def test_failing_hosts_are_ejected_down_to_half():
    """R4: guards against ejection that overloads the remaining hosts."""
    load_balancer = new_balancer()
    for name in ("h0", "h1", "h2"):
        for _ in range(5):
            load_balancer.failed(load_balancer.target(name), 0.0)
    assert chosen_hosts(load_balancer) == {"h2", "h3"}
    load_balancer.tick(5.0)
    assert chosen_hosts(load_balancer, now=5.0) == {"h0", "h1", "h2", "h3"}
    for _ in range(5):
        load_balancer.failed(load_balancer.target("h0"), 6.0)
    load_balancer.tick(15.9)
    assert "h0" not in chosen_hosts(load_balancer, now=15.9)
    load_balancer.tick(16.0)
    assert "h0" in chosen_hosts(load_balancer, now=16.0)


def test_slow_host_is_ejected_whatever_it_reports():
    """R4: guards against a target that reports low load but is slow."""
    load_balancer = new_balancer()
    for name in ("h0", "h1", "h2", "h3"):
        target = load_balancer.target(name)
        target.update_load([0, 0, 12, 0], 0.0)
        for _ in range(10):
            load_balancer.succeeded(target, 0.2 if name == "h1" else 0.01)
    assert chosen_hosts(load_balancer) == {"h0", "h1", "h2", "h3"}
    assert load_balancer.tick(1.0) == ["h1"]
    assert chosen_hosts(load_balancer) == {"h0", "h2", "h3"}


def test_malformed_load_is_ignored():
    """R7: guards against a malformed load that stops a reply's delivery."""
    target = new_balancer().target("h0")
    assert not target.update_load(["x", 1, 2], 0.0)
    assert not target.update_load([1], 0.0)
    assert target.limit == 1
