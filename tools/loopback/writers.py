"""The operator and the targets as writers of the store."""

import threading
import time

TIMEOUT_MS = 2_500
IDLE_TIMEOUT_MS = 5_000
# Routes named after versions stay in this many versions.
KEPT_VERSIONS = 4


class Route:
    """One route of one version."""

    __slots__ = ("name", "prefix", "services", "idempotent", "regions")

    def __init__(self, name, services, idempotent=True, regions=()):
        self.name = name
        self.prefix = f"/{name}/"
        self.services = services
        self.idempotent = idempotent
        self.regions = regions

    def to_document(self):
        document = {
            "name": self.name,
            "prefix": self.prefix,
            "type": "idempotent" if self.idempotent else "non_idempotent",
            "timeout_ms": TIMEOUT_MS,
            "slo_ms": TIMEOUT_MS // 2,
            "priority": 1,
            "attempts": 3 if self.idempotent else 2,
            "allowed_regions": list(self.regions),
        }
        if len(self.services) == 1:
            return document | {"service": self.services[0]}
        parts = [{"service": name, "weight": 50} for name in self.services]
        return document | {"split": parts}


class Version:
    """A configuration that was written to the store.

    Times are monotonic seconds; replaced_at is that of the next version.
    """

    __slots__ = ("number", "routes", "sent_at", "accepted_at", "replaced_at")

    def __init__(self, number, routes):
        self.number = number
        self.routes = {route.prefix: route for route in routes}
        self.sent_at = 0.0
        self.accepted_at = 0.0
        self.replaced_at = None

    def to_document(self, services):
        return {
            "version": self.number,
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_conns": 120,
                    "warmup_s": 0.0,
                    "warmup_per_s": 1000.0,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1048576,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": IDLE_TIMEOUT_MS,
            },
            "hosts": [
                {
                    "host": "a.example",
                    "paths": [
                        route.to_document() for route in self.routes.values()
                    ],
                }
            ],
        }


class Evacuation:
    """An evacuation of a failure domain; times are monotonic seconds."""

    __slots__ = ("failure_domain", "accepted_at", "ended_at")

    def __init__(self, failure_domain):
        self.failure_domain = failure_domain
        self.accepted_at = time.monotonic()
        self.ended_at = None


class Operator:
    """Write configurations, evacuations and entries of targets."""

    def __init__(self, store, layout, random_source):
        self.store = store
        self.layout = layout
        self.random = random_source
        self.versions = []
        self.evacuations = []
        # Times at which the store accepted the end of an instance.
        self.ends = {}
        self.lock = threading.RLock()
        self.publish()

    @property
    def newest(self):
        return self.versions[-1]

    def publish(self):
        """Write the next configuration."""
        with self.lock:
            number = 1
            if self.versions:
                number = self.newest.number + self.random.randint(1, 3)
            version = Version(number, self._make_routes(number))
            version.sent_at = time.monotonic()
            previous = self.versions[-1:]
            self.versions.append(version)
            self._write(version)
            version.accepted_at = time.monotonic()
            for item in previous:
                item.replaced_at = version.accepted_at

    def _make_routes(self, number):
        first, *others = self.layout.services
        moved = self.random.choice(self.layout.services)
        routes = [
            Route("once", [first], idempotent=False),
            Route("safe", [first]),
            Route("home", [first], regions=["north"]),
            Route("home-once", [first], False, ["south"]),
            Route("moved", [moved]),
        ]
        if others:
            routes.append(Route("split", list(self.layout.services)))
        kept = [item.number for item in self.versions[1 - KEPT_VERSIONS :]]
        for item in (*kept, number):
            routes.append(Route(f"since-{item}", [first]))
        return routes

    def _write(self, version):
        document = version.to_document(self.layout.services)
        self.store.put("op/config", document)

    def evacuate(self, failure_domain):
        with self.lock:
            self.store.put(f"op/evacuate/{failure_domain}", {})
            evacuation = Evacuation(failure_domain)
            self.evacuations.append(evacuation)
            return evacuation

    def end_evacuation(self, evacuation):
        with self.lock:
            evacuation.ended_at = time.monotonic()
            self._delete(f"op/evacuate/{evacuation.failure_domain}")

    def _delete(self, key):
        """Delete an item unless a restored store lacks it."""
        if key in self.store.items:
            self.store.delete(key)

    def register(self, target, phase="ready"):
        """Write the entry of the running process of a target."""
        document = {
            "service": target.host.service,
            "address": "{}:{}".format(*target.host.at("target")),
            "zone": target.host.failure_domain,
            "version": "v1",
            "concurrency": 8,
            "phase": phase,
            "warmup_left_ms": 0,
            "seq": 1,
            "born": target.started_unix_ms,
        }
        with self.lock:
            self.store.put(f"servers/{target.instance}", document)
            if phase == "draining":
                self.ends[target.instance] = time.monotonic()

    def remove(self, instance):
        with self.lock:
            self._delete(f"servers/{instance}")
            self.ends.setdefault(instance, time.monotonic())

    def write_again(self, targets):
        """Write all that holds now, after the store lost some of it."""
        with self.lock:
            self._write(self.newest)
            domains = {
                item.failure_domain
                for item in self.evacuations
                if item.ended_at is None
            }
            for domain in self.layout.failure_domains:
                key = f"op/evacuate/{domain}"
                if domain in domains:
                    self.store.put(key, {})
                else:
                    self._delete(key)
            live = {
                target.instance
                for target in targets
                if target.listener is not None
            }
            for key in list(self.store.items):
                prefix, _, instance = key.partition("/")
                if prefix == "servers" and instance not in live:
                    self.store.delete(key)
            for target in targets:
                if target.listener is None:
                    continue
                phase = "draining" if target.instance in self.ends else "ready"
                self.register(target, phase)
