"""The capacity page agrees with the measured results."""

import json

from tools import capacity


def test_page_holds_the_derived_figures():
    """Guards against figures on the page that differ from the results."""
    rows = json.loads(capacity.RESULTS.read_text("utf-8"))
    text = capacity.PAGE.read_text("utf-8")
    assert capacity.replace_tables(text, capacity.derive_tables(rows)) == text


def test_role_bytes_follow_from_the_slopes():
    """Guards against a formula that omits the bytes per change."""
    values = {
        "role_idle_bytes_per_second_node": 100.0,
        "role_patch_bytes_node": 10.0,
        "role_idle_messages_per_second_node": 2.0,
    }
    rows = [{"name": name, "value": value} for name, value in values.items()]
    figures = capacity.Measurements(rows)
    before = capacity.control_bytes_per_second(figures, "node")
    figures.values["role_patch_bytes_node"] = 1010.0
    changes = capacity.PATCHES_PER_SECOND + capacity.HOST_CHANGES_PER_SECOND
    after = capacity.control_bytes_per_second(figures, "node")
    assert round(after - before, 6) == round(1000.0 * changes, 6)
