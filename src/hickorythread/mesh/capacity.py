"""Estimate how long work takes at the target on this host."""

import math

# A pace of 100 percent: work takes as long as at the other targets.
USUAL_PACE = 100
# A factor of 100 percent: work takes as long as is normal for the target.
USUAL_FACTOR = 100
# Limits of a pace in percent.
MIN_PACE = 20
MAX_PACE = 500
# A pace over fewer runs says more about the requests than about the target.
MIN_RUNS = 8
# Single run times differ by far more than CHANGE_SHARE, a mean of so many
# seldom does.
MEAN_RUNS = 32
# One run counts at most so many times the usual run time.
MAX_RUN_RATIO = 8.0
MAX_ROUTES = 1024
CHANGE_SHARE = 0.25
# Shorter disturbances end before an announcement could have an effect.
SUSTAINED_SECONDS = 1.0
# Least time between two announcements of a target.
MIN_ANNOUNCE_SECONDS = 4.0
# A target reports its factor in every response, and the factor changes often.
MAX_FACTOR_AGE_SECONDS = 1.0
MAX_PACE_AGE_SECONDS = 30.0
# Weight of the newest factor in the smoothed one.
FACTOR_SMOOTHING = 0.1
MIN_KNOWN_TARGETS = 2


class RunningMean:
    """Hold the mean of the last MEAN_RUNS values, approximately."""

    __slots__ = ("value", "count")

    def __init__(self) -> None:
        self.value = 0.0
        self.count = 0

    def add(self, value: float) -> None:
        """Add a value."""
        self.count = min(self.count + 1, MEAN_RUNS)
        self.value += (value - self.value) / self.count


class ReportedFactor:
    """Follow the factor by which a target says that its work takes longer.

    last is the newest figure, mean a smoothed one and sustained the one that
    has held for SUSTAINED_SECONDS, all in percent. held is the factor that the
    newest ones are compared with, since held_since.
    """

    __slots__ = ("last", "last_at", "mean", "sustained", "held", "held_since")

    def __init__(self) -> None:
        self.last = USUAL_FACTOR
        self.last_at = -math.inf
        self.mean = float(USUAL_FACTOR)
        self.sustained = USUAL_FACTOR
        self.held = USUAL_FACTOR
        self.held_since = -math.inf

    def record(self, factor: int, now: float) -> None:
        """Store a factor that the target reports."""
        self.last = factor
        self.last_at = now
        if _differs(factor, self.held):
            self.held = factor
            self.held_since = now
        elif now - self.held_since >= SUSTAINED_SECONDS:
            self.sustained = factor

    def note_run(self) -> None:
        """Let the mean follow the factor, as measured run times do."""
        self.mean += FACTOR_SMOOTHING * (self.last - self.mean)

    def slowdown(self, now: float) -> float:
        """Return how much longer work takes now than on average."""
        if now - self.last_at > MAX_FACTOR_AGE_SECONDS:
            return 1.0
        return self.last / self.mean


class ObservedCapacity:
    """Learn the run times and the pace of one target process.

    The pace tells how long work takes compared with the other targets of the
    service, in percent. What is usual there is told by the entry nodes.
    """

    __slots__ = (
        "run_times",
        "ratio",
        "factor",
        "recorded_at",
        "announced",
        "announced_at",
        "differs_since",
    )

    def __init__(self) -> None:
        self.announced_at = -math.inf
        self.reset()

    def reset(self) -> None:
        """Forget everything, because another process has started."""
        self.run_times: dict[str, RunningMean] = {}
        self.ratio = RunningMean()
        self.factor = ReportedFactor()
        self.recorded_at = -math.inf
        self.announced = 0
        self.differs_since = math.inf

    def record_factor(self, factor: int, now: float) -> None:
        """Store how long the target says that its work takes, in percent."""
        self.factor.record(factor, now)

    def record_run(
        self,
        route: str,
        seconds: float,
        usual: float,
        factor: int | None,
        now: float,
    ) -> None:
        """Learn from a successful run at a warm target.

        usual is the usual run time of the route in seconds, 0 if it is not
        known, and factor the reported factor, None if there is none.
        """
        if factor is not None:
            self.factor.note_run()
            seconds *= USUAL_FACTOR / factor
        run_time = self.run_times.get(route)
        if run_time is None:
            if len(self.run_times) >= MAX_ROUTES:
                self.run_times.clear()
            run_time = self.run_times[route] = RunningMean()
        run_time.add(seconds)
        if usual > 0.0:
            self.ratio.add(min(seconds / usual, MAX_RUN_RATIO))
            self.recorded_at = now

    def run_time(self, route: str) -> float:
        """Return the expected run time of a route, 0 if it is not known."""
        run_time = self.run_times.get(route)
        if run_time is None:
            return 0.0
        return run_time.value * self.factor.sustained / USUAL_FACTOR

    def pace(self, now: float) -> int:
        """Return the pace in percent, 0 if it is not known."""
        if self.ratio.count < MIN_RUNS or self.age(now) > MAX_PACE_AGE_SECONDS:
            return 0
        pace = self.ratio.value * self.factor.sustained
        return round(min(max(pace, MIN_PACE), MAX_PACE))

    def age(self, now: float) -> float:
        """Return the seconds since a run last changed the pace."""
        return now - self.recorded_at

    def slowdown(self, now: float) -> float:
        """Return how much longer work takes now than on average."""
        return self.factor.slowdown(now)

    def take_change(self, now: float) -> int:
        """Return the pace if it is to be announced now, else 0."""
        pace = self.pace(now)
        if not pace or not _differs(pace, self.announced):
            self.differs_since = math.inf
            return 0
        self.differs_since = min(self.differs_since, now)
        is_sustained = now - self.differs_since >= SUSTAINED_SECONDS
        if self.announced and not is_sustained:
            return 0
        if now - self.announced_at < MIN_ANNOUNCE_SECONDS:
            return 0
        self.announced = pace
        self.announced_at = now
        self.differs_since = math.inf
        return pace


class UsualTimes:
    """Hold the run times that the targets of services state, and their mean.

    An entry node tells the mean to the hosts of the targets.
    """

    __slots__ = ("by_route", "sums")

    def __init__(self) -> None:
        self.by_route: dict[tuple[str, str], dict[str, int]] = {}
        self.sums: dict[tuple[str, str], int] = {}

    def record(
        self, service: str, route: str, host_id: str, milliseconds: int
    ) -> None:
        """Store the run time that a target states for a route."""
        key = service, route
        if key not in self.by_route:
            if len(self.by_route) >= MAX_ROUTES:
                self.by_route.clear()
                self.sums.clear()
            self.by_route[key] = {}
            self.sums[key] = 0
        by_host = self.by_route[key]
        self.sums[key] += milliseconds - by_host.get(host_id, 0)
        by_host[host_id] = milliseconds

    def mean_ms(self, service: str, route: str) -> int:
        """Return the mean run time, 0 if fewer than two targets state it."""
        key = service, route
        by_host = self.by_route.get(key, {})
        if len(by_host) < MIN_KNOWN_TARGETS:
            return 0
        return round(self.sums[key] / len(by_host))

    def keep_only(self, host_ids: set[str]) -> None:
        """Drop the run times of hosts without a target."""
        for key, by_host in self.by_route.items():
            for host_id in by_host.keys() - host_ids:
                self.sums[key] -= by_host.pop(host_id)


def _differs(figure: int, known: int) -> bool:
    return abs(figure - known) >= CHANGE_SHARE * known
