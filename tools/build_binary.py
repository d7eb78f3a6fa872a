"""Build dist/hickorythread, a single executable file.

The file is a zip archive that follows a #! line. It holds the package and its
locked dependencies as bytecode; docs/packaging.md gives the reasons. The
build is reproducible: the same sources and interpreter give the same bytes.
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
LOCK_FILE = ROOT / "requirements.lock"
TARGET = ROOT / "dist" / "hickorythread"
INTERPRETER_LINE = b"#!/usr/bin/env python3.11\n"
EXTENSION_SUFFIX = importlib.machinery.EXTENSION_SUFFIXES[0]
MEMBER_TIMESTAMP = (1980, 1, 1, 0, 0, 0)
# pbr and setuptools are needed at installation time only. dnspython is used
# by the resolver of eventlet, which the command line disables.
EXCLUDED_DISTRIBUTIONS = ("dnspython", "pbr", "setuptools")
EXCLUDED_FOLDERS = frozenset(("__pycache__", "benchmarks", "test", "tests"))
EXCLUDED_SUFFIXES = frozenset(
    (".c", ".cpp", ".h", ".hpp", ".pth", ".pxd", ".pyi", ".pyx", ".typed")
)
# zstandard falls back to this module where backend_c is missing.
EXCLUDED_MODULES = frozenset(("zstandard._cffi",))
# docutils formats the help of commands and needs none of its data files.
EXCLUDED_DATA = ("docutils/",)
INCLUDED_METADATA = re.compile(
    r"METADATA|.*(LICEN[CS]E|COPYING|NOTICE).*", re.I
)


class BuildError(Exception):
    """Report that the archive cannot be built."""


def main():
    """Build the archive and print its size; return the exit code."""
    try:
        build(TARGET)
    except BuildError as error:
        sys.stderr.write(f"{error}\n")
        return 1
    size = TARGET.stat().st_size
    sys.stdout.write(f"{TARGET.relative_to(ROOT)}: {size} bytes\n")
    return 0


def build(target):
    """Write the archive and move it to target atomically."""
    members = collect_members()
    target.parent.mkdir(parents=True, exist_ok=True)
    temporary_path = target.with_name(f"{target.name}.partial")
    with open(temporary_path, "wb") as output_file:
        output_file.write(INTERPRETER_LINE)
        with zipfile.ZipFile(
            output_file, "w", zipfile.ZIP_DEFLATED
        ) as archive:
            for name in sorted(members):
                info = zipfile.ZipInfo(name, MEMBER_TIMESTAMP)
                info.external_attr = 0o644 << 16
                info.compress_type = compression_method(name)
                archive.writestr(info, members[name])
    temporary_path.chmod(0o755)
    os.replace(temporary_path, target)


def compression_method(name):
    """Return the compression of a member.

    Bytecode is stored uncompressed because every start reads it.
    """
    if name.endswith(".pyc"):
        return zipfile.ZIP_STORED
    return zipfile.ZIP_DEFLATED


def collect_members():
    """Return the contents of all archive members by name."""
    members = {}
    for path in sorted((ROOT / "src" / "hickorythread").rglob("*")):
        name = path.relative_to(ROOT / "src").as_posix()
        if path.is_file() and not is_excluded(name):
            add_member(members, name, path.read_bytes())
    for name, version in read_lock():
        if name not in EXCLUDED_DISTRIBUTIONS:
            add_distribution(members, name, version)
    add_bootstrap(members)
    add_folder_entries(members)
    return members


def read_lock():
    """Return the name and version of every locked dependency."""
    pattern = re.compile(r"^([A-Za-z0-9._-]+)==([^\s;]+)", re.M)
    return pattern.findall(LOCK_FILE.read_text(encoding="utf-8"))


def add_distribution(members, name, version):
    """Add the files of an installed distribution.

    Raises BuildError if the installed version is not the locked one.
    """
    try:
        installed = importlib.metadata.distribution(name)
    except importlib.metadata.PackageNotFoundError:
        raise BuildError(
            f"{name} {version} is locked but not installed in {sys.prefix}"
        ) from None
    if installed.version != version:
        raise BuildError(
            f"{name} {version} is locked, but {sys.prefix} has "
            f"{installed.version}"
        )
    for file in installed.files or ():
        member_name = file.as_posix()
        if not member_name.startswith("..") and not is_excluded(member_name):
            add_member(members, member_name, file.locate().read_bytes())


def is_excluded(name):
    """Return whether a file is not needed at run time."""
    path = pathlib.PurePosixPath(name)
    if path.parts[0].endswith(".dist-info"):
        return not INCLUDED_METADATA.fullmatch(path.name)
    if EXCLUDED_FOLDERS & set(path.parts[:-1]):
        return True
    if path.suffix == ".py":
        return False
    return path.suffix in EXCLUDED_SUFFIXES or name.startswith(EXCLUDED_DATA)


def add_member(members, name, data):
    """Add a file, compiled if it is source and stripped if an extension."""
    if name.endswith(".py"):
        members[f"{name}c"] = compile_source(name, data)
    elif not name.endswith(".so"):
        members[name] = data
    elif extension_module_name(name) not in EXCLUDED_MODULES:
        members[name] = strip_debug_sections(data)


def compile_source(name, data):
    """Return bytecode that is loaded without checking its source file."""
    code = compile(data, name, "exec", dont_inherit=True, optimize=0)
    source_hash = importlib.util.source_hash(data)
    return bytes(bytecode._code_to_hash_pyc(code, source_hash, checked=False))


def extension_module_name(name):
    """Return the module name of an extension module's file.

    Raises BuildError if the file was built for another interpreter.
    """
    for suffix in importlib.machinery.EXTENSION_SUFFIXES:
        if name.endswith(suffix):
            return name.removesuffix(suffix).replace("/", ".")
    raise BuildError(f"{name} was built for another interpreter")


def strip_debug_sections(data):
    """Return an ELF file without the data after its loaded segments.

    The loader reads only program headers and segments. Debug information
    makes up 85 % of the extensions and would occupy memory.
    """
    if data[:6] != b"\x7fELF\x02\x01":
        raise BuildError("extensions must be 64-bit little-endian ELF files")
    (offset,) = struct.unpack_from("<Q", data, 32)
    size, count = struct.unpack_from("<HH", data, 54)
    end = offset + size * count
    for header_offset in range(offset, offset + size * count, size):
        (start,) = struct.unpack_from("<Q", data, header_offset + 8)
        (length,) = struct.unpack_from("<Q", data, header_offset + 32)
        end = max(end, start + length)
    stripped = bytearray(data[:end])
    struct.pack_into("<Q", stripped, 40, 0)
    struct.pack_into("<HHH", stripped, 58, 0, 0, 0)
    return bytes(stripped)


def add_bootstrap(members):
    """Add the entry point, the importer and its table of extensions."""
    folder = ROOT / "tools" / "archive"
    members["__main__.py"] = (folder / "entry.py").read_bytes()
    importer = (folder / "memory_importer.py").read_bytes()
    add_member(members, "memory_importer.py", importer)
    extensions = {
        extension_module_name(name): name
        for name in sorted(members)
        if name.endswith(".so")
    }
    manifest = (
        f"EXTENSION_SUFFIX = {EXTENSION_SUFFIX!r}\nEXTENSIONS = {extensions}\n"
    )
    add_member(members, "archive_manifest.py", manifest.encode())


def add_folder_entries(members):
    """Add an entry for each folder of modules without __init__.

    zipimport finds namespace packages only through such entries.
    """
    for name in list(members):
        for folder in pathlib.PurePosixPath(name).parents[:-1]:
            if f"{folder}/__init__.pyc" not in members:
                members[f"{folder}/"] = b""


if __name__ == "__main__":
    sys.exit(main())
