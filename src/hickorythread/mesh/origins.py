"""Tells the calls that the local target makes from requests of clients."""

# A call may arrive just after its run has ended, so that one request without
# a run does not prove that clients use a route.
MIN_CLIENT_REQUESTS = 3


class CallOrigins:
    """Estimate which requests of a host are calls of retried runs.

    Clients and the target of a host send their requests in the same way. A
    request that arrives while the target runs nothing comes from a client.
    """

    __slots__ = ("client_requests",)

    def __init__(self) -> None:
        self.client_requests: dict[str, int] = {}

    def retry_probability(
        self, route: str, running: int, running_retries: int
    ) -> float:
        """Return the probability that a request is a call of a retried run.

        running counts the runs at the local target, running_retries those
        that are retries.
        """
        seen = self.client_requests.get(route, 0)
        if not running:
            self.client_requests[route] = min(seen + 1, MIN_CLIENT_REQUESTS)
            return 0.0
        if seen >= MIN_CLIENT_REQUESTS:
            return 0.0
        return running_retries / running

    def keep_only(self, routes: set[str]) -> None:
        """Drop what is known of routes that no longer exist."""
        for name in self.client_requests.keys() - routes:
            del self.client_requests[name]
