"""A connection between two sidecars goes silent; a success is cut short."""

import asyncio
import itertools
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_3 import mesh as meshes  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 4
ROUND_SECONDS = 12.0
READERS = 8
DEADLINE_MS = 3000
BODY_BYTES = 20_000
SENDING_SECONDS = 0.8

ROUTES = (
    ("/spec/", "idempotent", "spec-desk", 2500),
    ("/book/", "non_idempotent", "kiln-desk", 2500),
)


def answer(path):
    """Return the size, the seconds of work and those of sending."""
    if path.startswith("/spec/"):
        return BODY_BYTES, 0.02, SENDING_SECONDS
    return 500, 0.1, 0.0


class Case:
    """Send requests at both hosts while a connection goes silent."""

    def __init__(self):
        self.record = meshes.Record(HERE / "record.txt")
        self.mesh = meshes.Mesh(
            self.record,
            [("launceston", "kiln-desk"), ("devonport", "spec-desk")],
        )
        self.numbers = itertools.count(1)
        self.stopped = False
        self.successes = 0
        self.targets = [
            meshes.Target(self.mesh, host, answer) for host in self.mesh.hosts
        ]

    async def run(self):
        """Return the exit status of the case."""
        first, second = self.mesh.hosts
        self.mesh.publish(ROUTES)
        for target in self.targets:
            await target.start()
        links = [
            meshes.Link(self.record, first, second),
            meshes.Link(self.record, second, first),
        ]
        for link in links:
            await link.start()
        for host in self.mesh.hosts:
            self.mesh.start(host)
        if not await self.mesh.wait_ready():
            self.record.note("the sidecars are not ready")
            return 2
        await asyncio.sleep(2.0)
        tasks = [
            asyncio.create_task(self._send(first, "GET", "/spec/", 0.02))
            for _ in range(READERS)
        ]
        tasks.append(
            asyncio.create_task(self._send(second, "POST", "/book/", 1.0))
        )
        for _ in range(ROUNDS):
            await asyncio.sleep(ROUND_SECONDS / 4)
            if TROUBLE:
                count = sum(link.silence() for link in links)
                self.record.note("silent from now on:", count, "connections")
            await asyncio.sleep(ROUND_SECONDS * 3 / 4)
        self.stopped = True
        await asyncio.gather(*tasks)
        self.record.note("successes", self.successes)
        self.record.note("broken", len(self.record.broken))
        if not self.successes:
            return 2
        return 1 if self.record.broken else 0

    async def _send(self, host, method, prefix, pause):
        """Send one request after another."""
        while not self.stopped:
            request_id = f"r{next(self.numbers)}"
            path = f"{prefix}{request_id}"
            body = b"" if method == "GET" else b"order"
            self.record.note("sent", request_id, method, path, host.address)
            try:
                status, headers, content = await meshes.call(
                    host, method, path, request_id, DEADLINE_MS, body
                )
            except (TimeoutError, OSError, EOFError) as error:
                self.record.note("no answer", request_id, repr(error))
                status = 0
            else:
                self._check(request_id, status, headers, content)
            await asyncio.sleep(pause if status == 200 else 0.2)

    def _check(self, request_id, status, headers, content):
        self.record.note("answer", request_id, status, len(content), "bytes")
        if not 200 <= status < 300:
            return
        self.successes += 1
        stamp = headers.get(meshes.STAMP.lower(), "")
        for target in self.targets:
            if stamp in target.stamps:
                whole = target.stamps[stamp]
                if whole != content:
                    self.record.broke(
                        "MIXED",
                        f"{request_id}: {status} with {len(content)} of",
                        f"{len(whole)} bytes, stamp {stamp}",
                    )
                return
        self.record.broke("MIXED", f"{request_id}: no stamp of a target")


async def main():
    case = Case()
    try:
        return await case.run()
    finally:
        case.mesh.close()


if __name__ == "__main__":
    sys.exit(meshes.run_case(main))
