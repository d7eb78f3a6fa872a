"""Configuration distribution for a service mesh.

The names in `__all__` are the public interface. Each is imported on first
use; importing them performs no I/O and does not import eventlet.
"""

import importlib
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hickorythread.acceptance import accept
    from hickorythread.acceptance import digest_of
    from hickorythread.acceptance import empty_configuration
    from hickorythread.acceptance import load_snapshot
    from hickorythread.acceptance import to_snapshot
    from hickorythread.admission import Admission
    from hickorythread.api import apply_patch
    from hickorythread.api import check_patch
    from hickorythread.api import check_settings
    from hickorythread.api import explain
    from hickorythread.api import Explanation
    from hickorythread.balancer import Balancer
    from hickorythread.charts import Chart
    from hickorythread.codec import Decoder
    from hickorythread.codec import encode
    from hickorythread.control import ControlPlane
    from hickorythread.deadlines import ClockOffset
    from hickorythread.entry import EntryPlane
    from hickorythread.exceptions import HickorythreadError
    from hickorythread.exceptions import InvariantError
    from hickorythread.exceptions import Problem
    from hickorythread.exceptions import Refusal
    from hickorythread.exceptions import Rejection
    from hickorythread.execution import ExecutionPlane
    from hickorythread.idempotency import KeyStore
    from hickorythread.lease import Lease
    from hickorythread.membership import Membership
    from hickorythread.models import Configuration
    from hickorythread.models import FailureDomain
    from hickorythread.models import Host
    from hickorythread.models import LogEntry
    from hickorythread.models import Operation
    from hickorythread.models import Patch
    from hickorythread.models import Position
    from hickorythread.models import Route
    from hickorythread.models import Service
    from hickorythread.models import Tenant
    from hickorythread.quarantine import Quarantine
    from hickorythread.readers import Backoff
    from hickorythread.relay import Relay
    from hickorythread.replica import ConfigurationState
    from hickorythread.replica import Replica
    from hickorythread.retries import RetryBudget
    from hickorythread.routing import match_route
    from hickorythread.settings import Settings
    from hickorythread.status import StatusTree
    from hickorythread.token_bucket import TokenBucket
    from hickorythread.validation import validate

__version__ = "0.1.0"

_MODULES = {
    "accept": "acceptance",
    "digest_of": "acceptance",
    "empty_configuration": "acceptance",
    "load_snapshot": "acceptance",
    "to_snapshot": "acceptance",
    "apply_patch": "api",
    "check_patch": "api",
    "check_settings": "api",
    "explain": "api",
    "Explanation": "api",
    "Chart": "charts",
    "Decoder": "codec",
    "encode": "codec",
    "HickorythreadError": "exceptions",
    "InvariantError": "exceptions",
    "Problem": "exceptions",
    "Refusal": "exceptions",
    "Rejection": "exceptions",
    "Configuration": "models",
    "FailureDomain": "models",
    "Host": "models",
    "LogEntry": "models",
    "Operation": "models",
    "Patch": "models",
    "Position": "models",
    "Route": "models",
    "Service": "models",
    "Tenant": "models",
    "Admission": "admission",
    "Balancer": "balancer",
    "Backoff": "readers",
    "ClockOffset": "deadlines",
    "ControlPlane": "control",
    "EntryPlane": "entry",
    "ExecutionPlane": "execution",
    "KeyStore": "idempotency",
    "Lease": "lease",
    "Membership": "membership",
    "Quarantine": "quarantine",
    "Relay": "relay",
    "Replica": "replica",
    "ConfigurationState": "replica",
    "RetryBudget": "retries",
    "StatusTree": "status",
    "TokenBucket": "token_bucket",
    "match_route": "routing",
    "Settings": "settings",
    "validate": "validation",
}

__all__ = [
    "Admission",
    "Backoff",
    "Balancer",
    "Chart",
    "ClockOffset",
    "Configuration",
    "ConfigurationState",
    "ControlPlane",
    "Decoder",
    "EntryPlane",
    "ExecutionPlane",
    "Explanation",
    "FailureDomain",
    "HickorythreadError",
    "Host",
    "InvariantError",
    "KeyStore",
    "Lease",
    "LogEntry",
    "Membership",
    "Operation",
    "Patch",
    "Position",
    "Problem",
    "Quarantine",
    "Refusal",
    "Rejection",
    "Relay",
    "Replica",
    "RetryBudget",
    "Route",
    "Service",
    "Settings",
    "StatusTree",
    "Tenant",
    "TokenBucket",
    "accept",
    "apply_patch",
    "check_patch",
    "check_settings",
    "digest_of",
    "empty_configuration",
    "encode",
    "explain",
    "load_snapshot",
    "match_route",
    "to_snapshot",
    "validate",
]


def __getattr__(name: str) -> Any:
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(f"{__name__}.{_MODULES[name]}")
    return getattr(module, name)


def __dir__() -> list[str]:
    return sorted([*globals(), *__all__])
