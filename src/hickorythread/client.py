"""HTTP clients for operators: a node's operator port and the platform."""

from collections.abc import Mapping
import json
from typing import Any
import urllib.parse

import urllib3

from hickorythread import models

CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 10.0
MAX_RESPONSE_BYTES = 64 << 20


class UnreachableError(Exception):
    """Report no usable response; it is unknown if the request took effect."""


class RefusedError(Exception):
    """Report that the server rejected the request without executing it."""

    def __init__(self, message: str, status: int = 0) -> None:
        super().__init__(message)
        self.status = status


class NodeClient:
    """Call the operator port of several nodes.

    Each call tries the nodes in turn until one responds. This is safe
    because every call only reads or validates.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = addresses
        self.pool = urllib3.PoolManager(retries=False)

    def status(self) -> models.Document:
        """Return versions and digests per region and failure domain."""
        return self._call("GET", "/status?wait")

    def configuration(self) -> models.Document:
        """Return the node's current configuration snapshot."""
        return self._call("GET", "/config")

    def explain(
        self, method: str, path: str, client_account: str
    ) -> models.Document:
        """Return how the node would route a request."""
        query = urllib.parse.urlencode(
            {"method": method, "path": path, "tenant": client_account}
        )
        return self._call("GET", f"/explain?{query}")

    def explain_route(self, values: Mapping[str, Any]) -> models.Document:
        """Return how the sidecar would route a request."""
        query = urllib.parse.urlencode(values)
        return self._call("GET", f"/explain?{query}")

    def check_patch(self, patch: models.Document) -> models.Document:
        """Return the verdict that the patch would get if published now."""
        return self._call("POST", "/patches/check", patch)

    def verdict(self, patch_id: str) -> models.Document:
        """Return the verdict on a published patch."""
        quoted_id = urllib.parse.quote(patch_id, safe="")
        return self._call("GET", f"/patches/{quoted_id}")

    def _call(
        self, method: str, target: str, body: models.Document | None = None
    ) -> models.Document:
        failures = []
        for address in self.addresses:
            try:
                return _send_request(
                    self.pool, "node", address, method, target, body, {}
                )
            except UnreachableError as error:
                failures.append(str(error))
        raise UnreachableError("; ".join(failures))


class PlatformClient:
    """Publish to the platform's patch log.

    Requests carry the operators' bearer token.
    """

    def __init__(self, address: str, token: str) -> None:
        self.address = address
        self.token = token
        self.pool = urllib3.PoolManager(retries=False)

    def publish(self, patch: models.Document) -> models.Document:
        """Append a patch to the log and return its sequence.

        Raises UnreachableError if it is unknown whether the patch was
        appended.
        """
        headers = {"Authorization": f"Bearer {self.token}"}
        return _send_request(
            self.pool,
            "platform",
            self.address,
            "POST",
            "/v1/log",
            patch,
            headers,
        )


def _send_request(
    pool: urllib3.PoolManager,
    server_kind: str,
    address: str,
    method: str,
    target: str,
    body: models.Document | None,
    headers: Mapping[str, str],
) -> models.Document:
    server = f"{server_kind} {address}"
    request_body = None
    request_headers = {"Accept": "application/json"} | dict(headers)
    if body is not None:
        request_body = json.dumps(body, separators=(",", ":")).encode()
        request_headers["Content-Type"] = "application/json"
    try:
        response = pool.request(
            method,
            f"http://{address}{target}",
            body=request_body,
            headers=request_headers,
            redirect=False,
            preload_content=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_SECONDS, read=READ_TIMEOUT_SECONDS
            ),
        )
        response_body = response.read(MAX_RESPONSE_BYTES + 1)
        response.release_conn()
    except urllib3.exceptions.HTTPError as error:
        raise UnreachableError(
            f"{server}: {_transport_error(error)}"
        ) from error
    return _decode_response(server, response.status, response_body)


def _decode_response(
    server: str, status: int, response_body: bytes
) -> models.Document:
    try:
        document = json.loads(response_body)
    except (ValueError, RecursionError):
        document = None
    if status >= 500:
        raise UnreachableError(
            f"{server} returned status {status}: {_error_message(document)}"
        )
    if status >= 300:
        raise RefusedError(
            f"{server} returned status {status}: {_error_message(document)}",
            status,
        )
    if len(response_body) > MAX_RESPONSE_BYTES or not isinstance(
        document, dict
    ):
        raise UnreachableError(f"{server} did not answer with a JSON object")
    return document


def _error_message(document: Any) -> str:
    if isinstance(document, dict):
        for key in ("message", "error", "reason"):
            if isinstance(document.get(key), str):
                return str(document[key])[:300]
    return "no reason given"


def _transport_error(error: urllib3.exceptions.HTTPError) -> str:
    if isinstance(error, urllib3.exceptions.NewConnectionError):
        return f"no connection: {_system_error(error)}"
    if isinstance(error, urllib3.exceptions.ConnectTimeoutError):
        return f"no connection within {CONNECT_TIMEOUT_SECONDS:g} s"
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return f"no response within {READ_TIMEOUT_SECONDS:g} s"
    return _system_error(error)


def _system_error(error: BaseException) -> str:
    cause = error.__cause__ or error.__context__
    if isinstance(cause, OSError) and cause.strerror:
        return cause.strerror
    return str(error)
