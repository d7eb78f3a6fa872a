"""Import extension modules from the archive through memory files.

The dynamic loader can open only files. An anonymous memory file needs no
writable disk and has a path under /proc/self/fd.
"""

import _imp
import importlib.machinery
import os
import sys

import archive_manifest

PACKAGE_FOLDERS = ("site-packages", "dist-packages")


class ExtensionFinder:
    """Find the extension modules of the archive."""

    __slots__ = ("archive", "members", "loader")

    def __init__(self, archive, members, loader):
        self.archive = archive
        self.members = members
        self.loader = loader

    def find_spec(self, fullname, path=None, target=None):
        """Return the spec of an extension module, or None for others."""
        member_name = self.members.get(fullname)
        if member_name is None:
            return None
        data = self.loader.get_data(f"{self.archive}{os.sep}{member_name}")
        origin = write_memory_file(fullname, data)
        loader = importlib.machinery.ExtensionFileLoader(fullname, origin)
        return importlib.machinery.ModuleSpec(fullname, loader, origin=origin)


def write_memory_file(name, data):
    """Copy data to a memory file and return its path.

    The file stays open, so that its descriptor is not reused: the dynamic
    loader treats two libraries with the same path as one.
    """
    descriptor = os.memfd_create(name, os.MFD_CLOEXEC)
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[os.write(descriptor, remaining) :]
    return f"/proc/self/fd/{descriptor}"


def install(loader):
    """Make the extension modules importable; return an error or "".

    Removes other installed packages from sys.path, so that only the locked
    dependencies of the archive are used.
    """
    interpreter_suffix = _imp.extension_suffixes()[0]
    if interpreter_suffix != archive_manifest.EXTENSION_SUFFIX:
        return (
            f"built for {archive_manifest.EXTENSION_SUFFIX}, but this "
            f"interpreter loads {interpreter_suffix}; run `make binary` on a "
            "machine of this kind"
        )
    if not os.path.exists("/proc/self/fd"):
        return "extension modules are loaded through /proc; mount it"
    sys.path[:] = [
        entry
        for entry in sys.path
        if os.path.basename(entry) not in PACKAGE_FOLDERS
    ]
    finder = ExtensionFinder(
        loader.archive, archive_manifest.EXTENSIONS, loader
    )
    sys.meta_path.insert(0, finder)
    return ""
