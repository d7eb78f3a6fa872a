"""Where an operator's command finds nodes, the platform and its token."""

from typing import Any

from hickorythread import command_errors
from hickorythread import exit_codes


class ConnectionOptions:
    """Hold node and platform addresses and the token file of a command."""

    __slots__ = ("nodes", "platform", "token_file")

    def __init__(
        self, nodes: list[str], platform: str, token_file: str
    ) -> None:
        self.nodes = nodes
        self.platform = platform
        self.token_file = token_file

    def node_client(self) -> Any:
        """Return a client of the nodes; raises CommandError without one."""
        from hickorythread import client

        if not self.nodes:
            raise command_errors.CommandError(
                exit_codes.EXIT_USAGE,
                "no node address; give --node IP:port or --profile FILE",
            )
        return client.NodeClient(self.nodes)

    def platform_client(self) -> Any:
        """Return a client of the platform; raises CommandError without one."""
        from hickorythread import client

        if not self.platform:
            raise command_errors.CommandError(
                exit_codes.EXIT_USAGE,
                "no platform address; give --platform IP:port or "
                "--profile FILE",
            )
        return client.PlatformClient(
            self.platform, _read_token(self.token_file)
        )


def read_options(
    profile: str = "", node: str = "", platform: str = "", token_file: str = ""
) -> ConnectionOptions:
    """Return the options of the command line and of the profile, if any."""
    values: dict[str, Any] = {}
    if profile:
        values = _load_profile(profile)
    if node:
        values["node"] = split_addresses(node)
    if platform:
        values["platform"] = platform
    if token_file:
        values["token_file"] = token_file
    _check_profile("command line" if not profile else profile, values)
    nodes = values.get("node", [])
    return ConnectionOptions(
        [nodes] if isinstance(nodes, str) else nodes,
        values.get("platform", ""),
        values.get("token_file", ""),
    )


def _load_profile(path: str) -> dict[str, Any]:
    import os

    document = command_errors.load_document(path)
    _check_profile(path, document)
    values = dict(document)
    if "token_file" in values:
        folder = os.path.dirname(os.path.abspath(path))
        values["token_file"] = os.path.join(folder, values["token_file"])
    return values


def _check_profile(origin: str, document: Any) -> None:
    from hickorythread import schemas

    problems = schemas.check("profile", document)
    if problems:
        raise command_errors.usage_error(origin, problems)


def _read_token(path: str) -> str:
    if not path:
        raise command_errors.CommandError(
            exit_codes.EXIT_USAGE,
            "no token file; give --token-file FILE or set token_file in the "
            "profile",
        )
    try:
        with open(path, encoding="ascii") as source:
            token = source.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not ASCII text"
        raise command_errors.CommandError(
            exit_codes.EXIT_USAGE,
            f"cannot read the token file {path}: {reason}",
        ) from error
    if not token or not token.isprintable() or " " in token:
        raise command_errors.CommandError(
            exit_codes.EXIT_USAGE,
            f"{path}: expected a bearer token on a single line",
        )
    return token


def split_addresses(addresses: str) -> list[str]:
    """Return the addresses of a list separated by commas."""
    return [part.strip() for part in addresses.split(",") if part.strip()]
