"""Start hickorythread from its archive, where this file is __main__.py.

It is stored as source code, so that an unsupported interpreter can run it and
print an error.
"""

import sys

EXIT_USAGE = 2


def main():
    """Check the interpreter, install the importer and run the command line."""
    if sys.version_info[:2] != (3, 11):
        sys.stderr.write(
            "hickorythread needs Python 3.11, this is "
            f"{sys.version_info[0]}.{sys.version_info[1]}; run it with "
            "python3.11\n"
        )
        return EXIT_USAGE
    import memory_importer

    error = memory_importer.install(__loader__)
    if error:
        sys.stderr.write(f"hickorythread: {error}\n")
        return EXIT_USAGE
    from hickorythread import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(main())
