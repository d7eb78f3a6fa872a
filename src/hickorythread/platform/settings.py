"""Translates the bounds that the platform puts in a settings file."""

from typing import Any

BOUNDS = "bounds"
STRICT_REVOCATION = "strict_revoke"
REVOCATION = "revoke_ms"
# Without it, strict revocation would set no bound at all.
DEFAULT_REVOCATION_MS = 5000


def translate(document: Any) -> Any:
    """Return a document with settings in place of the platform's bounds.

    The settings name most bounds one by one. Those that only some deployments
    have are taken from the list of all.
    """
    if not isinstance(document, dict):
        return document
    bounds = document.get(BOUNDS)
    if not isinstance(bounds, dict):
        return document
    translated = {
        name: value for name, value in document.items() if name != BOUNDS
    }
    # Without strict revocation, a withdrawn key has the bound of any change.
    if bounds.get(STRICT_REVOCATION) is True:
        translated["revocation_ms"] = bounds.get(
            REVOCATION, DEFAULT_REVOCATION_MS
        )
    return translated
