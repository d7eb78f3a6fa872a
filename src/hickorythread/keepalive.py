"""Socket options that find a connection whose other end is gone."""

import socket

IDLE_SECONDS = 1
PROBES = 2
UNACKNOWLEDGED_MS = 3_000
OPTIONS: list[tuple[int, int, int | bytes]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]
