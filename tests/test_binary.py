"""The single-file executable runs without disk writes or child processes."""

import os
import subprocess
import sys
import zipfile

import pytest

from tools import build_binary

# Runs code under an audit hook that reports file writes and new processes.
# Root may write anywhere, so that file permissions would not detect a write.
AUDIT_SCRIPT = """
import os, resource, runpy, sys
WRITE_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT
PROCESS_EVENTS = ("os.fork", "os.forkpty", "os.posix_spawn", "os.exec",
                  "os.system", "os.spawn", "pty.spawn", "subprocess.Popen")
FILE_EVENTS = ("os.mkdir", "os.rename", "os.link", "os.symlink",
               "tempfile.mkstemp", "tempfile.mkdtemp", "shutil.")
violations = []
def audit(event, arguments):
    if event.startswith(PROCESS_EVENTS + FILE_EVENTS):
        violations.append((event, arguments))
    elif event == "open" and isinstance(arguments[2], int):
        if arguments[2] & WRITE_FLAGS and arguments[0] != "/dev/null":
            violations.append((event, arguments))
sys.addaudithook(audit)
code = 0
try:
    %s
except SystemExit as stop:
    code = stop.code
for task in os.listdir("/proc/self/task"):
    with open(f"/proc/self/task/{task}/children") as children:
        if children.read().strip():
            violations.append(("children", task))
if resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss:
    violations.append(("children", "ended"))
if violations:
    sys.stderr.write(f"forbidden: {violations}")
    code = 99
sys.exit(code)
"""

RUN_ARCHIVE = (
    AUDIT_SCRIPT
    % """
    archive, sys.argv = sys.argv[1], sys.argv[1:]
    runpy.run_path(archive, run_name="__main__")
"""
)

# Imports the packages that the node uses from the archive alone.
IMPORT_ALL = """
import os, sys
os.environ["EVENTLET_NO_GREENDNS"] = "yes"
archive = sys.argv[1]
loaded_by_site = set(sys.modules)
sys.path.insert(0, archive)
import zipimport, memory_importer
error = memory_importer.install(zipimport.zipimporter(archive))
assert not error, error
import eventlet, greenlet, msgpack, zstandard, blake3, xxhash, rpds, pyhdrh
import hdrh.histogram, prometheus_client, absl.logging, urllib3, defopt
from hickorythread import charts, codec, messages, schemas
assert msgpack.Packer.__module__ == "msgpack._cmsgpack"
assert zstandard.backend == "cext"
assert charts.Chart.load("peer").initial == "alive"
assert schemas.check("patch", {})
data = zstandard.ZstdDecompressor().decompress(zstandard.compress(b"x" * 99))
assert data == b"x" * 99
assert blake3.blake3(b"").hexdigest().startswith("af1349b9")
assert xxhash.xxh3_64_intdigest(b"") == 0x2D06800538D394C2
eventlet.spawn(eventlet.sleep, 0).wait()
outside_modules = [
    name
    for name, module in sys.modules.items()
    if name not in loaded_by_site
    and "site-packages" in (getattr(module, "__file__", None) or "")
]
assert not outside_modules, outside_modules
"""


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    path = tmp_path_factory.mktemp("dist") / "hickorythread"
    build_binary.build(path)
    return path


def add_audit(code):
    return AUDIT_SCRIPT % "\n    ".join(code.splitlines())


def run(*command):
    """Run a command with all its default directories in /proc.

    No files can be created there. Other environment variables are unset.
    """
    return subprocess.run(
        [str(part) for part in command],
        capture_output=True,
        text=True,
        env={"TMPDIR": "/proc", "HOME": "/proc"},
        cwd="/proc",
    )


@pytest.fixture
def patch_file(tmp_path):
    path = tmp_path / "patch.json"
    path.write_text(
        '{"id": "p1", "base": 0, "operations": '
        '[{"op": "set_rules", "value": 1}]}'
    )
    return path


@pytest.mark.parametrize("isolated", [True, False])
def test_help_and_check_write_and_start_nothing(binary, patch_file, isolated):
    """Guards against unpacking to disk and starting a child process."""
    start = [sys.executable, *(["-I"] if isolated else []), "-c", RUN_ARCHIVE]
    help_run = run(*start, binary, "--help")
    assert help_run.returncode == 0, help_run.stderr
    assert "exit codes:" in help_run.stdout
    check_run = run(*start, binary, "check", patch_file)
    assert check_run.returncode == 0, check_run.stderr
    assert "no mistakes (patch)" in check_run.stdout


def test_all_extensions_load_from_the_archive(binary):
    """Guards against pure-Python fallbacks and installed packages."""
    code = add_audit(IMPORT_ALL)
    result = run(sys.executable, "-I", "-c", code, binary)
    assert result.returncode == 0, result.stderr


@pytest.mark.parametrize(
    "code",
    [
        "import os; os.system('true')",
        "import subprocess; subprocess.run(['true'])",
        "import os; pid = os.fork(); pid or os._exit(0); os.wait()",
        "import sys; open(sys.argv[0] + '.forbidden', 'a')",
    ],
)
def test_watch_reports_forbidden_acts(tmp_path, code):
    """Guards against an audit hook that misses writes and processes."""
    path = tmp_path / "archive"
    with zipfile.ZipFile(path, "w") as archive:
        archive.writestr("__main__.py", code)
    assert run(sys.executable, "-I", "-c", RUN_ARCHIVE, path).returncode == 99


def test_mistakes_keep_their_exit_code(binary, tmp_path):
    """Guards against a bootstrap that drops the exit code."""
    result = run(sys.executable, "-I", binary, "check", tmp_path / "absent")
    assert result.returncode == 2
    assert "cannot read" in result.stdout


def test_file_is_executable_and_reproducible(binary, tmp_path):
    """Guards against different files built from the same source."""
    assert os.access(binary, os.X_OK)
    rebuilt = tmp_path / "rebuilt"
    build_binary.build(rebuilt)
    assert rebuilt.read_bytes() == binary.read_bytes()


def test_other_interpreter_is_refused_with_a_reason(binary, tmp_path):
    """Guards against a crash in an extension for another interpreter."""
    archive = tmp_path / "archive"
    with zipfile.ZipFile(binary) as source:
        with zipfile.ZipFile(archive, "w") as target:
            for item in source.infolist():
                if item.filename != "archive_manifest.pyc":
                    target.writestr(item, source.read(item))
            target.writestr(
                "archive_manifest.py",
                'EXTENSION_SUFFIX = ".cpython-39.so"\nEXTENSIONS = {}\n',
            )
    result = run(sys.executable, "-I", archive, "--help")
    assert result.returncode == 2
    assert "built for .cpython-39.so" in result.stderr


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ("sys.version_info = (3, 12, 0)", "needs Python 3.11, this is 3.12"),
        ("os.path.exists = lambda path: False", "through /proc; mount it"),
    ],
)
def test_unsuitable_machine_is_refused_with_a_reason(binary, change, message):
    """Guards against a traceback on a machine that can't run the file."""
    code = (
        f"import os, runpy, sys; archive = sys.argv.pop(1); {change}; "
        "runpy.run_path(archive, run_name='__main__')"
    )
    result = run(sys.executable, "-I", "-c", code, binary, "--help")
    assert result.returncode == 2
    assert message in result.stderr


def test_version_that_differs_from_the_lock_stops_the_build(monkeypatch):
    """Guards against shipping a dependency that was never tested."""
    monkeypatch.setattr(
        build_binary, "read_lock", lambda: [("msgpack", "0.0.1")]
    )
    with pytest.raises(build_binary.BuildError, match="msgpack 0.0.1"):
        build_binary.collect_members()
