"""Client of the platform's metadata store."""

import http.client
import json
from typing import Any
from urllib import parse

import expression
import urllib3

from hickorythread import descriptors
from hickorythread import http_client
from hickorythread import http_requests
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
CONNECT_TIMEOUT_SECONDS = 0.6
READ_TIMEOUT_SECONDS = 1.5
WATCH_MARGIN_SECONDS = 3.0
# How long the bytes of a response may take to arrive after its first one.
TRANSFER_SECONDS = 4.0
# A page of entries takes at most a few values. A watch whose changes take more
# is replaced by a read of the pages.
MAX_RESPONSE_BYTES = 16 << 20
# Header that counts how often the store was restored from an older copy.
ERA = "store-era"
MAX_PAGES = 1000
# Peers pack integers in 64 bits.
MAX_REVISION = (1 << 63) - 1
_FAILURE_KINDS = {410: interfaces.HISTORY_UNAVAILABLE, 429: "rate"}


class _StoreError(Exception):
    """Report a call to the store that failed."""

    def __init__(self, kind: str, detail: str = "") -> None:
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class StoreClient:
    """Read and watch the store; regions maps zones to their regions."""

    def __init__(self, address: str, regions: dict[str, str]) -> None:
        self.regions = regions
        # The topics whose waiting watch was ended.
        self.ended: set[str] = set()
        self.use_address(address)

    def use_address(self, address: str) -> None:
        """Switch to another address of the store."""
        self.host, self.port = utils.split_address(address)
        # A second copy of a response may arrive when the connection is in use
        # again. It is then one of the same topic, and an older one.
        self.sessions = {topic: self._make_session() for topic in PREFIXES}

    def end_watch(self, topic: str) -> None:
        """End the watch of a topic that waits for changes."""
        self.ended.add(topic)
        self.sessions[topic].interrupt()

    def _make_session(self) -> http_client.Session:
        return http_client.Session(
            self.host, self.port, keepalive.SOURCE_OPTIONS
        )

    def read(self, topic: str) -> interfaces.ReadResult:
        """Return everything under a topic.

        The pages do not form a snapshot, so the returned revision is that of
        the first page; a watch from there returns the changes made since.
        """
        changes: list[interfaces.Change] = []
        is_partial = False
        revision = -1
        first_era = models.UNKNOWN_ERA
        query = {"prefix": PREFIXES[topic]}
        try:
            for _ in range(MAX_PAGES):
                page, era = self._get(self.sessions[topic], "kv-range", query)
                if revision < 0:
                    revision = _read_revision(page)
                    first_era = era
                elif era != first_era:
                    raise _StoreError("restored", f"era {first_era} to {era}")
                items = _read_items(page, "items")
                decoded = self._decode_items(items)
                changes += decoded
                is_partial |= _lacks_configuration(items, decoded)
                if not page.get("has_more") or not items:
                    break
                query["after"] = items[-1]["key"]
        except _StoreError as error:
            return _to_result(error)
        except (KeyError, TypeError) as error:
            return _to_result(_StoreError("malformed", repr(error)))
        return expression.Ok(
            interfaces.ChangeBatch(
                changes, revision, era=first_era, is_partial=is_partial
            )
        )

    def watch(
        self, topic: str, after: int, wait: float
    ) -> interfaces.ReadResult:
        """Return the changes after a revision; wait up to wait seconds."""
        query = {
            "prefix": PREFIXES[topic],
            "after": str(after),
            "wait_ms": str(int(wait * 1000)),
        }
        # A watch that does not wait may run beside one that does. It is rare
        # and keeps no connection.
        session = self.sessions[topic] if wait else self._make_session()
        if wait:
            self.ended.discard(topic)
        try:
            result, era = self._get(session, "kv-watch", query, wait)
            # Older events belong to a response that has arrived twice.
            events = [
                item
                for item in _read_items(result, "events")
                if item["rev"] > after
            ]
            items = _latest_events(events)
            changes = self._decode_items(items)
            self._mark_announced(changes, events)
            revision = _read_revision(result)
        except _StoreError as error:
            if wait and topic in self.ended:
                return _to_result(_StoreError(interfaces.WATCH_ENDED))
            return _to_result(error)
        except (KeyError, TypeError) as error:
            return _to_result(_StoreError("malformed", repr(error)))
        finally:
            if not wait:
                session.close()
        superseded = len(events) - len(items)
        return expression.Ok(
            interfaces.ChangeBatch(
                changes,
                max(after, revision),
                superseded,
                era,
                _lacks_configuration(items, changes),
            )
        )

    def _get(
        self,
        session: http_client.Session,
        endpoint: str,
        query: dict[str, str],
        wait: float = 0.0,
    ) -> tuple[Any, int]:
        """Return the document and the era of a response.

        The response may take wait seconds.
        """
        url = f"/-/{endpoint}?{parse.urlencode(query)}"
        margin = WATCH_MARGIN_SECONDS if wait else READ_TIMEOUT_SECONDS
        limits = http_client.Limits(
            CONNECT_TIMEOUT_SECONDS,
            wait + margin,
            wait + margin + TRANSFER_SECONDS,
            MAX_RESPONSE_BYTES,
        )
        try:
            response = session.get(url, limits)
        except http_client.TooLargeError as error:
            watches = endpoint == "kv-watch"
            kind = interfaces.HISTORY_UNAVAILABLE if watches else "refused"
            raise _StoreError(kind, str(error)) from error
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
            EOFError,
            ValueError,
        ) as error:
            shortage = descriptors.is_shortage(error)
            raise _StoreError(
                interfaces.NO_DESCRIPTOR if shortage else interfaces.NO_ANSWER,
                f"{type(error).__name__}: {error}"[:200],
            ) from error
        if response.status != 200:
            kind = _FAILURE_KINDS.get(response.status, "refused")
            raise _StoreError(kind, f"status {response.status}")
        try:
            return json.loads(response.body), _parse_era(response.headers)
        except (ValueError, RecursionError) as error:
            raise _StoreError("malformed", str(error)[:200]) from error

    def _decode_items(self, items: list[Any]) -> list[interfaces.Change]:
        changes: list[interfaces.Change] = []
        for item in items:
            try:
                change = self._decode_item(item)
            except documents.DocumentError as error:
                # The key may have held a valid target before.
                logs.warning(
                    "entry_ignored", key=item.get("key"), reason=str(error)
                )
                change = _removal_for(item["key"])
            if change is not None:
                changes.append(change)
        return changes

    def _decode_item(self, item: Any) -> interfaces.Change | None:
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
        target = self._decode_target(target_id, item)
        return interfaces.PutTarget(target, _item_revision(item))

    def _mark_announced(
        self, changes: list[interfaces.Change], events: list[Any]
    ) -> None:
        """Tell which removed targets had announced in the events to leave."""
        for change in changes:
            if isinstance(change, interfaces.RemoveTarget):
                key = TARGET_PREFIX + change.target_id
                change.announced = any(
                    self._says_draining(item)
                    for item in events
                    if item["key"] == key
                )

    def _says_draining(self, item: Any) -> bool:
        try:
            change = self._decode_item(item)
        except documents.DocumentError:
            return False
        return (
            isinstance(change, interfaces.PutTarget) and change.target.draining
        )

    def _decode_target(self, target_id: str, item: Any) -> models.Target:
        value = documents.decode_value(item["value"])
        return documents.decode_target(target_id, value, self.regions)


def _parse_era(headers: dict[str, str]) -> int:
    """Return the era of the store.

    Raises ValueError if the header is malformed.
    """
    text = headers.get(ERA)
    if text is None:
        return models.UNKNOWN_ERA
    era = http_requests.parse_count(text)
    if era is None:
        raise ValueError(f"era {text!r:.40} is not a number")
    return era


def _read_items(document: Any, name: str) -> list[dict[str, Any]]:
    """Return the items of a response, without those that have no key.

    Raises KeyError or TypeError if there is no list of them.
    """
    items = document[name]
    if not isinstance(items, list):
        raise TypeError(f"{name} is not a list")
    readable = [
        item
        for item in items
        if isinstance(item, dict) and isinstance(item.get("key"), str)
    ]
    if len(readable) < len(items):
        logs.warning("items_ignored", count=len(items) - len(readable))
    return readable


def _read_revision(document: Any) -> int:
    """Return the revision of a response; raise TypeError if malformed."""
    revision = document["store_revision"]
    if type(revision) is not int or not 0 <= revision <= MAX_REVISION:
        raise TypeError("store_revision is not an integer in range")
    return revision


def _item_revision(item: Any) -> int:
    """Return the revision of an item, 0 if it has no valid one."""
    revision = item.get("rev")
    if type(revision) is not int or not 0 <= revision <= MAX_REVISION:
        return 0
    return revision


def _lacks_configuration(
    items: list[Any], changes: list[interfaces.Change]
) -> bool:
    """Return whether the configuration was written and not decoded."""
    is_written = any(
        item["key"] == CONFIGURATION_KEY and not item.get("deleted")
        for item in items
    )
    return is_written and not any(
        isinstance(change, interfaces.PutConfiguration) for change in changes
    )


def _latest_events(events: list[Any]) -> list[Any]:
    """Return the last event of each key in the original order."""
    newest = {item["key"]: item for item in events}
    return [item for item in events if newest[item["key"]] is item]


def _removal_for(key: str) -> interfaces.Change | None:
    if key.startswith(TARGET_PREFIX):
        return interfaces.RemoveTarget(key[len(TARGET_PREFIX) :])
    return None


def _to_result(error: _StoreError) -> interfaces.ReadResult:
    return expression.Error(interfaces.SourceFailure(error.kind, error.detail))
