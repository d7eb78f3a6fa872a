"""Stand-ins for the platform, a target and a caller.

They implement the published interfaces of the outside systems, run as
processes or inside a test, and inject faults on request.
"""

from hickorythread.standins.caller import Caller
from hickorythread.standins.caller import REQUEST_TEMPLATES
from hickorythread.standins.caller import RequestTemplate
from hickorythread.standins.commands import run_caller
from hickorythread.standins.commands import run_platform
from hickorythread.standins.commands import run_target
from hickorythread.standins.platform import Platform
from hickorythread.standins.server import Server
from hickorythread.standins.target import CRASH_MARKER
from hickorythread.standins.target import Target

__all__ = [
    "CRASH_MARKER",
    "Caller",
    "Platform",
    "REQUEST_TEMPLATES",
    "RequestTemplate",
    "Server",
    "Target",
    "run_caller",
    "run_platform",
    "run_target",
]
