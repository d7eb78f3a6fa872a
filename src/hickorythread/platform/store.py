"""Read the platform's metadata store."""

import json
from typing import Any
from urllib import parse

import expression
import urllib3

from hickorythread import keepalive
from hickorythread import logs
from hickorythread import utils
from hickorythread.mesh import interfaces
from hickorythread.mesh import models
from hickorythread.platform import documents

PREFIXES = {interfaces.OPERATOR: "op/", interfaces.TARGETS: "servers/"}
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
TARGET_PREFIX = "servers/"
CONNECT_SECONDS = 0.6
READ_SECONDS = 1.5
WATCH_MARGIN_SECONDS = 3.0
MAX_ANSWER_BYTES = 64 << 20
MAX_PAGES = 1000
_FAILURES = {410: interfaces.HISTORY, 429: "rate"}


class _CallError(Exception):
    """End a read without a result."""

    def __init__(self, kind: str, detail: str = "") -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class StoreClient:
    """Read and watch the store; regions maps zones to their regions."""

    def __init__(self, address: str, regions: dict[str, str]) -> None:
        self.regions = regions
        self.use_address(address)

    def use_address(self, address: str) -> None:
        """Read from another address from now on."""
        host, port = utils.split_address(address)
        self.pool = urllib3.HTTPConnectionPool(
            host,
            port,
            maxsize=len(PREFIXES),
            retries=False,
            socket_options=keepalive.OPTIONS,
        )

    def read(self, topic: str) -> interfaces.ReadResult:
        """Return everything under a topic.

        Pages are no snapshot, so that the changes since the first page must
        be watched.
        """
        changes: list[interfaces.Change] = []
        revision = -1
        query = {"prefix": PREFIXES[topic]}
        try:
            for _ in range(MAX_PAGES):
                page = self._get("kv-range", query, READ_SECONDS)
                if revision < 0:
                    revision = page["store_revision"]
                items = page["items"]
                changes += self._read_items(items)
                if not page.get("has_more") or not items:
                    break
                query["after"] = items[-1]["key"]
        except _CallError as error:
            return _failure(error)
        except (KeyError, TypeError) as error:
            return _failure(_CallError("malformed", repr(error)))
        return expression.Ok(interfaces.Reading(changes, revision))

    def watch(
        self, topic: str, after: int, wait: float
    ) -> interfaces.ReadResult:
        """Return the changes after a revision, waiting some seconds."""
        query = {
            "prefix": PREFIXES[topic],
            "after": str(after),
            "wait_ms": str(int(wait * 1000)),
        }
        try:
            answer = self._get("kv-watch", query, wait + WATCH_MARGIN_SECONDS)
            items = _newest(answer["events"])
            changes = self._read_items(items)
            revision = answer["store_revision"]
        except _CallError as error:
            return _failure(error)
        except (KeyError, TypeError) as error:
            return _failure(_CallError("malformed", repr(error)))
        superseded = len(answer["events"]) - len(items)
        return expression.Ok(
            interfaces.Reading(changes, max(after, revision), superseded)
        )

    def _get(self, call: str, query: dict[str, str], wait: float) -> Any:
        target = f"/-/{call}?{parse.urlencode(query)}"
        try:
            response = self.pool.request(
                "GET",
                target,
                redirect=False,
                preload_content=False,
                timeout=urllib3.Timeout(connect=CONNECT_SECONDS, read=wait),
            )
            data = response.read(MAX_ANSWER_BYTES)
            response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _CallError(
                "unreachable", f"{type(error).__name__}: {error}"[:200]
            ) from error
        if response.status != 200:
            kind = _FAILURES.get(response.status, "refused")
            raise _CallError(kind, f"status {response.status}")
        try:
            return json.loads(data)
        except (ValueError, RecursionError) as error:
            raise _CallError("malformed", str(error)[:200]) from error

    def _read_items(self, items: list[Any]) -> list[interfaces.Change]:
        changes: list[interfaces.Change] = []
        for item in items:
            try:
                change = self._read_item(item)
            except documents.DocumentError as error:
                # The key may have held a target before.
                logs.warning(
                    "entry_ignored", key=item.get("key"), reason=str(error)
                )
                change = _removal(item["key"])
            if change is not None:
                changes.append(change)
        return changes

    def _read_item(self, item: Any) -> interfaces.Change | None:
        key = item["key"]
        deleted = bool(item.get("deleted"))
        if key == CONFIGURATION_KEY:
            if deleted:
                return None
            value = documents.decode_value(item["value"])
            return interfaces.PutConfiguration(
                documents.decode_configuration(value)
            )
        if key.startswith(EVACUATION_PREFIX):
            domain = key[len(EVACUATION_PREFIX) :]
            return interfaces.SetEvacuated(domain, not deleted)
        if not key.startswith(TARGET_PREFIX):
            return None
        target_id = key[len(TARGET_PREFIX) :]
        if deleted:
            return interfaces.RemoveTarget(target_id)
        return interfaces.PutTarget(self._read_target(target_id, item))

    def _read_target(self, target_id: str, item: Any) -> models.Target:
        value = documents.decode_value(item["value"])
        return documents.decode_target(target_id, value, self.regions)


def _newest(events: list[Any]) -> list[Any]:
    """Return the last event of each key, in order."""
    newest = {item["key"]: item for item in events}
    return [item for item in events if newest[item["key"]] is item]


def _removal(key: str) -> interfaces.Change | None:
    if key.startswith(TARGET_PREFIX):
        return interfaces.RemoveTarget(key[len(TARGET_PREFIX) :])
    return None


def _failure(error: _CallError) -> interfaces.ReadResult:
    return expression.Error(interfaces.SourceFailure(error.kind, error.detail))
