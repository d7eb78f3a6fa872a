"""Build dist/hickorythread, one executable file.

The file is a zip archive behind a #! line. It holds the package and its
locked dependencies as byte code; docs/packaging.md gives the reasons. The
same sources and interpreter give the same bytes.
"""

import importlib._bootstrap_external as bytecode
import importlib.machinery
import importlib.metadata
import importlib.util
import os
import pathlib
import re
import struct
import sys
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOCK = ROOT / "requirements.lock"
TARGET = ROOT / "dist" / "hickorythread"
INTERPRETER_LINE = b"#!/usr/bin/env python3.11\n"
EXTENSION_SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]
TIMESTAMP = (1980, 1, 1, 0, 0, 0)
# pbr and setuptools act at installation time only. dnspython serves the
# resolver of eventlet, which the command line turns off.
SKIPPED_DISTRIBUTIONS = ("dnspython", "pbr", "setuptools")
SKIPPED_FOLDERS = frozenset(("__pycache__", "benchmarks", "test", "tests"))
SKIPPED_SUFFIXES = frozenset(
    (".c", ".cpp", ".h", ".hpp", ".pth", ".pxd", ".pyi", ".pyx", ".typed")
)
# zstandard falls back to this module where backend_c is missing.
SKIPPED_MODULES = frozenset(("zstandard._cffi",))
# Runs of docutils for the help of a command read none of its data.
SKIPPED_DATA = ("docutils/",)
KEPT_METADATA = re.compile(r"METADATA|.*(LICEN[CS]E|COPYING|NOTICE).*", re.I)


class BuildError(Exception):
    """Report why the archive cannot be built."""


def main():
    """Build the archive and print its size."""
    try:
        build(TARGET)
    except BuildError as error:
        sys.stderr.write(f"{error}\n")
        return 1
    size = TARGET.stat().st_size
    sys.stdout.write(f"{TARGET.relative_to(ROOT)}: {size} bytes\n")
    return 0


def build(target):
    """Write the archive and put it in place by rename."""
    members = collect_members()
    target.parent.mkdir(parents=True, exist_ok=True)
    partial = target.with_name(f"{target.name}.partial")
    with open(partial, "wb") as out:
        out.write(INTERPRETER_LINE)
        with zipfile.ZipFile(out, "w", zipfile.ZIP_DEFLATED) as archive:
            for name in sorted(members):
                info = zipfile.ZipInfo(name, TIMESTAMP)
                info.external_attr = 0o644 << 16
                info.compress_type = compression(name)
                archive.writestr(info, members[name])
    partial.chmod(0o755)
    os.replace(partial, target)


def compression(name):
    """Return how to store a member; byte code is read at each start."""
    if name.endswith(".pyc"):
        return zipfile.ZIP_STORED
    return zipfile.ZIP_DEFLATED


def collect_members():
    """Return the content of every member by name."""
    members = {}
    for path in sorted((ROOT / "src" / "hickorythread").rglob("*")):
        name = path.relative_to(ROOT / "src").as_posix()
        if path.is_file() and not is_skipped(name):
            add(members, name, path.read_bytes())
    for name, version in read_lock():
        if name not in SKIPPED_DISTRIBUTIONS:
            add_distribution(members, name, version)
    add_bootstrap(members)
    add_folders(members)
    return members


def read_lock():
    """Return name and version of every locked dependency."""
    pattern = re.compile(r"^([A-Za-z0-9._-]+)==([^\s;]+)", re.M)
    return pattern.findall(LOCK.read_text(encoding="utf-8"))


def add_distribution(members, name, version):
    """Add the files of an installed distribution.

    Raises BuildError if the installed version is not the locked one.
    """
    try:
        found = importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError:
        raise BuildError(
            f"{name} {version} is locked but not installed in {sys.prefix}"
        ) from None
    if found.version != version:
        raise BuildError(
            f"{name} {version} is locked, but {sys.prefix} holds "
            f"{found.version}"
        )
    for item in found.files or ():
        relative = item.as_posix()
        if not relative.startswith("..") and not is_skipped(relative):
            add(members, relative, item.locate().read_bytes())


def is_skipped(name):
    """Return whether a file is of no use at run time."""
    path = pathlib.PurePosixPath(name)
    if path.parts[0].endswith(".dist-info"):
        return not KEPT_METADATA.fullmatch(path.name)
    if SKIPPED_FOLDERS & set(path.parts[:-1]):
        return True
    if path.suffix == ".py":
        return False
    return path.suffix in SKIPPED_SUFFIXES or name.startswith(SKIPPED_DATA)


def add(members, name, data):
    """Add one file: byte code of sources, loadable part of extensions."""
    if name.endswith(".py"):
        members[f"{name}c"] = compile_source(name, data)
    elif not name.endswith(".so"):
        members[name] = data
    elif extension_name(name) not in SKIPPED_MODULES:
        members[name] = drop_debug_sections(data)


def compile_source(name, data):
    """Return byte code that is valid without a look at its source."""
    code = compile(data, name, "exec", dont_inherit=True, optimize=0)
    source_hash = importlib.util.source_hash(data)
    return bytes(bytecode._code_to_hash_pyc(code, source_hash, checked=False))


def extension_name(name):
    """Return the module name of an extension's file."""
    for suffix in importlib.machinery.EXTENSION_SUFFIXES:
        if name.endswith(suffix):
            return name.removesuffix(suffix).replace("/", ".")
    raise BuildError(f"{name} was built for another interpreter")


def drop_debug_sections(data):
    """Return an ELF file without what lies behind its loaded segments.

    The loader reads program headers and segments only. Debug information
    makes up 85 % of the extensions and would occupy memory.
    """
    if data[:6] != b"\x7fELF\x02\x01":
        raise BuildError("extensions must be 64-bit little-endian ELF files")
    (offset,) = struct.unpack_from("<Q", data, 32)
    size, count = struct.unpack_from("<HH", data, 54)
    end = offset + size * count
    for at in range(offset, offset + size * count, size):
        (start,) = struct.unpack_from("<Q", data, at + 8)
        (length,) = struct.unpack_from("<Q", data, at + 32)
        end = max(end, start + length)
    kept = bytearray(data[:end])
    struct.pack_into("<Q", kept, 40, 0)
    struct.pack_into("<HHH", kept, 58, 0, 0, 0)
    return bytes(kept)


def add_bootstrap(members):
    """Add the entry point, the importer and its table of extensions."""
    folder = ROOT / "tools" / "archive"
    members["__main__.py"] = (folder / "entry.py").read_bytes()
    importer = (folder / "memory_importer.py").read_bytes()
    add(members, "memory_importer.py", importer)
    extensions = {
        extension_name(name): name
        for name in sorted(members)
        if name.endswith(".so")
    }
    manifest = (
        f"EXTENSION_SUFFIX = {EXTENSION_SUFFIX!r}\nEXTENSIONS = {extensions}\n"
    )
    add(members, "archive_manifest.py", manifest.encode())


def add_folders(members):
    """Add an entry for each folder without __init__ that holds modules.

    zipimport finds namespace packages by such entries only.
    """
    for name in list(members):
        for folder in pathlib.PurePosixPath(name).parents[:-1]:
            if f"{folder}/__init__.pyc" not in members:
                members[f"{folder}/"] = b""


if __name__ == "__main__":
    sys.exit(main())
