"""Socket options that detect a connection whose peer no longer responds."""

import socket

PROBE_INTERVAL_SECONDS = 1
PROBE_COUNT = 2
USER_TIMEOUT_MS = 3_000
OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]
