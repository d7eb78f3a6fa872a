"""Tiers, reported loads and outlier ejection."""

import random

from hickorythread import balancer
from tests import builders

DOMAINS = ["launceston"] * 4 + ["devonport"] * 2 + ["hobart"] * 2


def new_balancer(domains=DOMAINS):
    made = balancer.Balancer("me", "north-tas", "launceston", random.Random(1))
    made.configuration_changed(builders.guild_configuration())
    hosts = [
        builders.host(f"h{number}", domain)
        for number, domain in enumerate(domains)
    ]
    made.hosts_changed(hosts, [])
    return made


def chosen(made, homes=None, now=0.0):
    picks = [made.choose("spec-desk", homes, now) for _ in range(50)]
    return {pick.host_id for pick in picks if pick}


def test_saturated_tier_gives_way_to_the_next():
    """R4: guards against sending more work to upstreams that are full."""
    made = new_balancer()
    assert chosen(made) == {"h0", "h1", "h2", "h3"}
    for name in ("h0", "h1", "h2", "h3"):
        made.upstream(name).update_load([11, 0, 12, 0], 0.0)
    assert chosen(made) == {"h4", "h5"}
    assert chosen(made, now=2.0) == {"h0", "h1", "h2", "h3"}


def test_home_regions_limit_the_candidates():
    """R6: guards against a spill to a region outside the home regions."""
    made = new_balancer(["hobart"] * 2)
    assert chosen(made) == {"h0", "h1"}
    assert chosen(made, frozenset(["north-tas"])) == set()


def test_removed_domain_and_leaving_host_are_not_chosen():
    """R5, R10: guards against new work after a removal is known."""
    made = new_balancer()
    configuration = builders.guild_configuration()
    configuration.failure_domains["launceston"].state = "out"
    made.configuration_changed(configuration)
    made.hosts_changed([builders.host("h4", "devonport", state="leaving")], [])
    assert chosen(made) == {"h5"}
    made.set_aside("h5", 0.0)
    made.peer_state_changed("h5", usable=False)
    assert chosen(made) == {"h6", "h7"}
    made.tick(9.0)
    assert chosen(made) == {"h6", "h7"}
    made.peer_state_changed("h5", usable=True)
    assert chosen(made) == {"h5"}


def test_failing_hosts_are_ejected_down_to_half():
    """R4: guards against ejection that overloads the remaining hosts."""
    made = new_balancer()
    for name in ("h0", "h1", "h2"):
        for _ in range(5):
            made.failed(made.upstream(name), 0.0)
    assert chosen(made) == {"h2", "h3"}
    made.tick(5.0)
    assert chosen(made, now=5.0) == {"h0", "h1", "h2", "h3"}
    for _ in range(5):
        made.failed(made.upstream("h0"), 6.0)
    made.tick(15.9)
    assert "h0" not in chosen(made, now=15.9)
    made.tick(16.0)
    assert "h0" in chosen(made, now=16.0)


def test_slow_host_is_ejected_whatever_it_reports():
    """R4: guards against misleading health: low load, but slow replies."""
    made = new_balancer()
    for name in ("h0", "h1", "h2", "h3"):
        upstream = made.upstream(name)
        upstream.update_load([0, 0, 12, 0], 0.0)
        for _ in range(10):
            made.succeeded(upstream, 0.2 if name == "h1" else 0.01)
    assert chosen(made) == {"h0", "h1", "h2", "h3"}
    assert made.tick(1.0) == ["h1"]
    assert chosen(made) == {"h0", "h2", "h3"}


def test_malformed_load_is_ignored():
    """R7: guards against a load list that breaks the reply's delivery."""
    upstream = new_balancer().upstream("h0")
    assert not upstream.update_load(["x", 1, 2], 0.0)
    assert not upstream.update_load([1], 0.0)
    assert upstream.limit == 1
