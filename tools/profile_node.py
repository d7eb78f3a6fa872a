"""Run a node under a sampling profiler and print the profile when it exits.

A timer of CPU time triggers the samples, so that waiting is not counted and
switches between green threads do not distort the result. Tables show the
share of samples by file, function and line, and by function with callees.
"""

import collections
import json
import pathlib
import signal
import sys

import eventlet

eventlet.monkey_patch()

from hickorythread import node  # noqa: E402
from hickorythread import settings  # noqa: E402

SAMPLE_INTERVAL_SECONDS = 0.001
ROW_LIMIT = 45


class Sampler:
    """Count the files, functions and lines seen in stack samples."""

    def __init__(self):
        self.sample_count = 0
        self.files = collections.Counter()
        self.exclusive = collections.Counter()
        self.inclusive = collections.Counter()
        self.lines = collections.Counter()

    def sample(self, number, frame):
        """Record the stack of a frame; this handles SIGPROF."""
        self.sample_count += 1
        self.files[pathlib.Path(frame.f_code.co_filename).name] += 1
        self.exclusive[_qualified_name(frame.f_code)] += 1
        self.lines[f"{_qualified_name(frame.f_code)}:{frame.f_lineno}"] += 1
        functions = set()
        while frame is not None:
            functions.add(_qualified_name(frame.f_code))
            frame = frame.f_back
        self.inclusive.update(functions)

    def report(self):
        """Print the most frequent entries with their shares in percent."""
        for title, counts in (
            ("file alone", self.files),
            ("function alone", self.exclusive),
            ("line", self.lines),
            ("with callees", self.inclusive),
        ):
            print(f"-- {title}, {self.sample_count} samples")
            for name, count in counts.most_common(ROW_LIMIT):
                print(f"{count * 100 / self.sample_count:6.1f} {name}")


def _qualified_name(code):
    return f"{pathlib.Path(code.co_filename).name}:{code.co_qualname}"


def main():
    """Run the node with the arguments of `hickorythread node`."""
    path = sys.argv[-1].removeprefix("--settings=")
    document = json.loads(pathlib.Path(path).read_text("utf-8"))
    sampler = Sampler()
    signal.signal(signal.SIGPROF, sampler.sample)
    signal.setitimer(
        signal.ITIMER_PROF, SAMPLE_INTERVAL_SECONDS, SAMPLE_INTERVAL_SECONDS
    )
    code = node.run(settings.Settings.from_config(document).ok)
    signal.setitimer(signal.ITIMER_PROF, 0)
    sampler.report()
    return code


if __name__ == "__main__":
    sys.exit(main())
