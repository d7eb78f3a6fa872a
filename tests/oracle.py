"""Oracle of the traffic state machine: checks every run and response.

Each request has a unique body that identifies its runs, except that callers
repeat bodies that contain b"crash".
"""

import math


class Oracle:
    """Checks runs and responses.

    The bodies of requests with an idempotency key start with b"once".
    """

    def __init__(self):
        self.mesh = None
        self.runs = {}
        self.not_run = set()
        self.requests = {}
        self.removed = {}  # host id or failure domain -> removal time

    def on_request(self, request):
        self.requests[request.request_id] = request

    def on_call(self, peer, call):
        self.check_region("sent", peer.host.region, call.tenant)

    def check_region(self, event, region, client_account):
        allowed_regions = self.mesh.configuration.tenants[
            client_account
        ].home_regions
        assert not allowed_regions or region in allowed_regions, (
            f"R6: {event} in {region}"
        )

    def on_run(self, target, action):
        body, host = action.body, target.host
        count = self.runs[body] = self.runs.get(body, 0) + 1
        assert count == 1 or not body.startswith(b"once"), f"R9: {body}"
        assert body not in self.not_run, f"R8: {body} ran after not-run"
        if b"northern" in body:
            self.check_region("served", host.region, "northern")
        for name in (host.id, host.failure_domain):
            removed_at = self.removed.get(name, math.inf)
            age = self.mesh.now - removed_at
            assert age <= 3.0, f"R5/R10: {name} removed {age} s ago"
        self.check_ramp(target)

    def check_ramp(self, target):
        if not target.restart_detected:
            return
        ramp_start = target.restart_detected_at
        # Runs of a replaced node process do not count: they started before
        # the ramp.
        ramp_runs = [
            run
            for run in target.running.values()
            if run[0] >= ramp_start and run[1].alive
        ]
        service = self.mesh.configuration.services[target.host.service]
        doubling_seconds = service.ramp_seconds / math.log2(service.slots)
        doublings = math.floor(
            (self.mesh.now - ramp_start) / doubling_seconds + 1e-9
        )
        ramp_limit = min(service.slots, 2**doublings)
        assert len(ramp_runs) <= ramp_limit, (
            f"R4: {len(ramp_runs)} runs exceed the ramp limit {ramp_limit}"
        )

    def on_response(self, action):
        request = self.requests.pop(action.request_id, None)
        assert request is not None, "R7: second response to one request"
        response = action.response
        may_repeat = response.status == 428 or b"crash" in request.body
        if response.outcome == "not-run" and not may_repeat:
            assert request.body not in self.runs, f"R8: {request.body}"
            self.not_run.add(request.body)
        if response.outcome == "complete":
            assert response.body == b"echo " + request.body, (
                "R7: wrong response body"
            )

    def on_drained(self, node):
        running = [
            run
            for run in self.mesh.targets[node.host.id].running.values()
            if run[1] is node
        ]
        assert not running, "R11: the target still runs requests"
        assert not node.calls_without_reply, (
            f"R11: calls without a reply: {node.calls_without_reply}"
        )
