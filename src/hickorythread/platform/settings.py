"""Translates the bounds that the platform puts in a settings file."""

from typing import Any

BOUNDS = "bounds"
STRICT_REVOCATION = "strict_revoke"
REVOCATION = "revoke_ms"
SETTING_BY_BOUND = {
    REVOCATION: "revocation_ms",
    "quota_window_s": "quota_window_seconds",
    "quota_overage": "quota_excess_share",
    "quota_slack": "quota_slack",
}


def translate(document: Any) -> Any:
    """Return a document with settings in place of the platform's bounds.

    Bounds that the settings name one by one are ignored here, and so are
    those that a deployment does not have.
    """
    if not isinstance(document, dict):
        return document
    bounds = document.get(BOUNDS)
    if not isinstance(bounds, dict):
        return document
    translated = {
        name: value for name, value in document.items() if name != BOUNDS
    }
    for bound, setting in SETTING_BY_BOUND.items():
        if bound in bounds:
            translated[setting] = bounds[bound]
    if bounds.get(STRICT_REVOCATION) is not True:
        # Without it, a change of keys has the bound of any other change.
        translated.pop(SETTING_BY_BOUND[REVOCATION], None)
    return translated
