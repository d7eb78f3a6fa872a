"""Decodes the client accounts of a configuration document."""

import math
from typing import Any

from hickorythread import account_keys
from hickorythread.mesh import models

MAX_NAME_CHARS = 200
MAX_PRIORITY = 1_000_000


class AccountsError(ValueError):
    """Report all mistakes in the accounts of a document.

    The text names places in the document and never quotes a key.
    """


def decode(document: dict[str, Any]) -> list[models.Account] | None:
    """Return the accounts of a configuration, None if it has no such part."""
    if "tenants" not in document:
        return None
    decoder = _Decoder()
    accounts = decoder.decode(document["tenants"])
    if decoder.problems:
        raise AccountsError("; ".join(decoder.problems)[:1000])
    return accounts


class _Decoder:
    """Decode accounts and collect the mistakes found."""

    def __init__(self) -> None:
        self.problems: list[str] = []
        self.names: set[str] = set()
        self.key_digests: set[bytes] = set()

    def decode(self, entries: Any) -> list[models.Account]:
        if not isinstance(entries, list):
            self.problems.append("tenants is not a list")
            return []
        return [
            self._decode_account(f"tenants/{number}", entry)
            for number, entry in enumerate(entries)
        ]

    def _decode_account(self, path: str, entry: Any) -> models.Account:
        if not isinstance(entry, dict):
            self.problems.append(f"{path} is not an object")
            entry = {}
        return models.Account(
            self._name(path, entry.get("name")),
            self._key_digests(path, entry.get("api_keys")),
            self._priority(path, entry.get("priority")),
            self._amount(f"{path}/rate_per_s", entry.get("rate_per_s")),
            self._amount(f"{path}/burst", entry.get("burst")),
            self._regions(path, entry.get("allowed_regions")),
        )

    def _name(self, path: str, name: Any) -> str:
        # Targets receive the name in a header.
        if (
            not isinstance(name, str)
            or not 0 < len(name) <= MAX_NAME_CHARS
            or not (name.isascii() and name.isprintable())
            or name != name.strip()
        ):
            self.problems.append(f"{path}/name is not a valid name")
            return ""
        if name in self.names:
            self.problems.append(f"{path}/name is used twice")
        self.names.add(name)
        return name

    def _key_digests(self, path: str, keys: Any) -> list[bytes]:
        if not isinstance(keys, list):
            self.problems.append(f"{path}/api_keys is not a list")
            return []
        digests = []
        for number, key in enumerate(keys):
            place = f"{path}/api_keys/{number}"
            if not isinstance(key, str) or not account_keys.is_valid(key):
                self.problems.append(f"{place} is not a valid key")
                continue
            digest = account_keys.digest(key)
            if digest in self.key_digests:
                self.problems.append(f"{place} is used twice")
            self.key_digests.add(digest)
            digests.append(digest)
        return digests

    def _priority(self, path: str, priority: Any) -> int | None:
        if priority is None:
            return None
        if type(priority) is not int or not 0 <= priority <= MAX_PRIORITY:
            self.problems.append(f"{path}/priority is not a priority")
            return None
        return priority

    def _amount(self, path: str, amount: Any) -> float:
        if amount is None:
            return 0.0
        if (
            type(amount) not in (int, float)
            or not math.isfinite(amount)
            or amount < 0
        ):
            self.problems.append(f"{path} is not a number from 0 on")
            return 0.0
        return float(amount)

    def _regions(self, path: str, regions: Any) -> list[str]:
        if regions is None:
            return []
        if not isinstance(regions, list) or not all(
            isinstance(region, str) and region for region in regions
        ):
            self.problems.append(f"{path}/allowed_regions is not a list")
            return []
        return regions
