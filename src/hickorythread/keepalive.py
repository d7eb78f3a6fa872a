"""Socket options that detect a connection whose peer no longer responds."""

import socket

PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
USER_TIMEOUT_MS = 3_000
# A node that hears nothing from the source must notice it well before others
# rely on it again, so that a single probe without a response ends the
# connection. The timeout is below two intervals because the kernel checks it
# when a probe is due.
SOURCE_PROBE_COUNT = 1
SOURCE_USER_TIMEOUT_MS = 1_900

Options = list[tuple[int, int, int | bytes]]


def make_options(probe_count: int, user_timeout_ms: int) -> Options:
    """Return the options of a connection that ends after unanswered probes.

    user_timeout_ms limits the time in which sent data is acknowledged.
    """
    return [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probe_count),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms),
    ]


OPTIONS = make_options(PROBE_COUNT, USER_TIMEOUT_MS)
SOURCE_OPTIONS = make_options(SOURCE_PROBE_COUNT, SOURCE_USER_TIMEOUT_MS)
