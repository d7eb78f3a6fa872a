"""Commands: output, exit codes and requests to the node and platform."""

import errno
import json
import socket
import sys
import types

import pytest

from hickorythread import cli
from hickorythread import exceptions
from hickorythread import exit_codes
from hickorythread import publishing
from tests import builders
from tests import fakes

UNKNOWN = (200, {"id": "p1", "verdict": "unknown"})
ACCEPTED = (
    200,
    {"id": "p1", "verdict": "accepted", "version": 8, "sequence": 12},
)
REJECTED = (
    200,
    {
        "id": "p1",
        "verdict": "rejected",
        "sequence": 12,
        "kind": "conflict",
        "problems": [{"path": "/base", "message": "base 3 is not current"}],
    },
)
WOULD_BE_ACCEPTED = (200, {"accepted": True, "version": 8})
PUBLISHED = (201, {"sequence": 12})
PATCH = builders.patch(7, builders.operation("set_rules", 1))
STATUS = {
    "host_id": "spec-desk-1",
    "version": 7,
    "digest": "ab" * 32,
    "ready": True,
    "lease_age": 0.4,
    "regions": {
        "south-tas": {
            "hobart": {
                "counts": [
                    {"version": 7, "digest": "ab" * 32, "count": 4},
                    {"version": 6, "digest": "cd" * 32, "count": 1},
                ],
                "laggards": [{"host_id": "kiln-desk-3", "version": 6}],
            }
        }
    },
}
SETTINGS = {
    "host_id": "spec-desk-1",
    "region": "north-tas",
    "failure_domain": "launceston",
    "service": "spec-desk",
    "stream_address": "127.0.0.1:7100",
    "caller_address": "127.0.0.1:7200",
    "operator_address": "127.0.0.1:7300",
    "upstream_address": "127.0.0.1:7400",
    "platform_address": "127.0.0.1:7500",
    "source_region": "north-tas",
}


@pytest.fixture
def write(tmp_path):
    """Return a function that writes text, or a document as JSON, to a file."""

    def write_file(content, name="file.json"):
        text = content if isinstance(content, str) else json.dumps(content)
        path = tmp_path / name
        path.write_text(text)
        return str(path)

    return write_file


@pytest.fixture
def node():
    answers = {
        "GET /patches/p1": [UNKNOWN, UNKNOWN, ACCEPTED],
        "POST /patches/check": WOULD_BE_ACCEPTED,
        "GET /status": (200, STATUS),
    }
    with fakes.serve(answers) as fake:
        yield fake


@pytest.fixture
def platform():
    with fakes.serve({"POST /v1/log": PUBLISHED}) as fake:
        yield fake


@pytest.fixture
def profile(write, node, platform):
    write("s3cret\n", "token")
    return write(
        {
            "node": node.address,
            "platform": platform.address,
            "token_file": "token",
        },
        "profile.json",
    )


@pytest.fixture
def submit(write, profile):
    path = write(PATCH, "patch.json")

    def run(*more):
        return cli.main(["patch", "submit", path, "--profile", profile, *more])

    return run


@pytest.fixture(autouse=True)
def keep_standard_library_unpatched(monkeypatch):
    """Do not monkey-patch the standard library of the test process."""
    monkeypatch.setattr(cli, "_patch_standard_library", lambda locks: None)


@pytest.fixture(autouse=True)
def no_poll_delay(monkeypatch):
    monkeypatch.setattr(publishing, "VERDICT_POLL_SECONDS", 0)


def unused_address():
    """Return a loopback address on which no socket listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"id": "p1",\n  "base" 1}', "line 2, column 10: malformed JSON"),
        ('{"id": "p1", "base": 1, "op', "line 1, column 25: malformed JSON"),
        ("", "line 1, column 1: malformed JSON"),
        ("[" * 100_000, "nested too deeply"),
        ("[" * 500 + "]" * 500, "nested deeper than 32 levels"),
        ('{"id": "p1", "id": "p2"}', "the key 'id' appears twice"),
        ('{"id": "p1", "base": NaN}', "NaN is not a JSON number"),
        ('{"base": 1%s}' % ("0" * 5000), "malformed JSON"),
        ("null", "/: None is not of type 'object'"),
        ('{"base": "1"}', "/base: '1' is not of type 'integer'"),
        ('{"base": 1, "bases": 2}', "'bases' was unexpected"),
        ('{"host_id": "A"}', "/host_id: 'A' is not a name of at most 63"),
        ('{"host": "a"}', "'host' was unexpected"),
    ],
)
def test_check_names_mistake_and_place(write, capsys, text, expected):
    """Guards against a traceback, or a message without a location."""
    path = write(text)
    assert cli.main(["check", path]) == exit_codes.EXIT_USAGE
    output = capsys.readouterr().out
    assert expected in output
    assert all(line.startswith(path) for line in output.splitlines())


def test_check_reports_text_that_is_not_utf8(tmp_path, capsys):
    """Guards against a decoding error that ends in a traceback."""
    path = tmp_path / "file.json"
    path.write_bytes(b'{"id": "\xff"}')
    assert cli.main(["check", str(path)]) == exit_codes.EXIT_USAGE
    assert "byte 8: the text is not UTF-8" in capsys.readouterr().out


@pytest.mark.parametrize("name", ["absent.json", "."])
def test_check_reports_file_that_cannot_be_read(tmp_path, capsys, name):
    """Guards against a traceback for a missing file or a directory."""
    path = str(tmp_path / name)
    assert cli.main(["check", path]) == exit_codes.EXIT_USAGE
    assert f"cannot read {path}" in capsys.readouterr().out


def test_output_holds_no_control_characters(write, capsys):
    """Guards against terminal control sequences from a document."""
    path = write('{"id": "\\u001b[2J", "base": 1, "\\ud800\\n": 1}')
    assert cli.main(["check", path]) == exit_codes.EXIT_USAGE
    output = capsys.readouterr().out
    assert all(line.isprintable() for line in output.splitlines())


def test_check_reports_all_mistakes_as_json(write, capsys):
    """Guards against a check that stops at the first problem."""
    path = write({"host_id": 1, "stream_address": "localhost:1"})
    code = cli.main(["check", path, "--format", "json"])
    answer = json.loads(capsys.readouterr().out)
    paths = {problem["path"] for problem in answer["problems"]}
    assert code == exit_codes.EXIT_USAGE
    assert answer["kind"] == "settings"
    assert not answer["valid"]
    assert {"/", "/host_id", "/stream_address"} <= paths


@pytest.mark.parametrize(
    ("document", "kind"), [(PATCH, "patch"), (SETTINGS, "settings")]
)
def test_check_tells_patch_from_settings(write, capsys, document, kind):
    """Guards against validating a document with the wrong schema."""
    assert cli.main(["check", write(document)]) == exit_codes.EXIT_OK
    assert f"no mistakes ({kind})" in capsys.readouterr().out


def test_submit_publishes_and_reports_verdict(submit, node, platform, capsys):
    """Guards against a patch that is altered or sent without the token."""
    assert submit() == exit_codes.EXIT_OK
    assert "p1: accepted as version 8" in capsys.readouterr().out
    [(_, _, body, headers)] = platform.calls("POST", "/v1/log")
    assert body == PATCH
    assert headers["Authorization"] == "Bearer s3cret"


def test_token_never_reaches_a_node_or_the_output(submit, node, capsys):
    """Guards against leaking the operators' token to a node or the output."""
    submit()
    output = capsys.readouterr()
    assert "s3cret" not in output.out + output.err
    assert node.requests
    for _, _, _, headers in node.requests:
        assert "Authorization" not in headers


def test_rejected_patch_exits_1_with_reasons(submit, node, capsys):
    """Guards against reporting a rejected patch as a success."""
    node.answers["GET /patches/p1"] = [UNKNOWN, REJECTED]
    assert submit() == exit_codes.EXIT_REJECTED
    output = capsys.readouterr().out
    assert "p1: rejected (conflict)" in output
    assert "/base: base 3 is not current" in output


def test_patch_that_would_be_rejected_is_not_published(
    submit, node, platform, capsys
):
    """Guards against publishing patches that will be rejected."""
    node.answers["POST /patches/check"] = (
        200,
        {"accepted": False, "kind": "invalid", "problems": []},
    )
    assert submit("--format", "json") == exit_codes.EXIT_REJECTED
    assert json.loads(capsys.readouterr().out)["published"] is False
    assert not platform.requests


def test_malformed_patch_reaches_no_server(write, profile, node, platform):
    """Guards against sending a patch that fails local validation."""
    path = write({"id": "p1", "base": 1, "operations": []}, "bad.json")
    command = ["patch", "submit", path, "--profile", profile]
    assert cli.main(command) == exit_codes.EXIT_USAGE
    assert not node.requests + platform.requests


def test_known_id_is_not_published_again(submit, node, platform, capsys):
    """Guards against reporting an older patch's verdict for this one."""
    node.answers["GET /patches/p1"] = ACCEPTED
    assert submit() == exit_codes.EXIT_REJECTED
    assert "choose another id" in capsys.readouterr().err
    assert not platform.requests


def test_verdict_on_older_entry_is_ignored(submit, node, platform, capsys):
    """Guards against a verdict on a concurrent patch with the same id."""
    platform.answers["POST /v1/log"] = (201, {"sequence": 13})
    newer = {"verdict": "accepted", "version": 9, "sequence": 13}
    node.answers["GET /patches/p1"] = [UNKNOWN, REJECTED, (200, newer)]
    assert submit() == exit_codes.EXIT_OK
    assert "accepted as version 9" in capsys.readouterr().out


def test_missing_verdict_exits_1(submit, node, capsys):
    """Guards against waiting forever or reporting success."""
    node.answers["GET /patches/p1"] = UNKNOWN
    assert submit("--timeout", "0") == exit_codes.EXIT_REJECTED
    assert "published as entry 12; no verdict" in capsys.readouterr().err


def test_node_lost_after_publishing_exits_4(submit, node, capsys):
    """Guards against not reporting that the patch is already in the log."""
    failure = (503, {"message": "leaving"})
    node.answers["GET /patches/p1"] = [UNKNOWN, failure]
    assert submit("--timeout", "0") == exit_codes.EXIT_UNREACHABLE
    assert "published as entry 12" in capsys.readouterr().err


def test_platform_not_reachable_exits_4(submit, capsys):
    """Guards against reporting that a patch was not published."""
    code = submit("--platform", unused_address())
    assert code == exit_codes.EXIT_UNREACHABLE
    assert "not known whether the patch was" in capsys.readouterr().err


@pytest.mark.parametrize("answer", [(500, {}), (201, b"<html>"), (502, b"")])
def test_unclear_publish_is_not_reported_as_refused(
    submit, platform, capsys, answer
):
    """Guards against resubmitting a patch that is already in the log."""
    platform.answers["POST /v1/log"] = answer
    assert submit() == exit_codes.EXIT_UNREACHABLE
    assert "not known whether the patch was" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("status", "code"),
    [
        (401, exit_codes.EXIT_USAGE),
        (403, exit_codes.EXIT_USAGE),
        (409, exit_codes.EXIT_REJECTED),
        (429, exit_codes.EXIT_UNREACHABLE),
        (503, exit_codes.EXIT_UNREACHABLE),
    ],
)
def test_platform_refusal_maps_to_exit_code(submit, platform, status, code):
    """Guards against exit codes that hide why publishing failed."""
    platform.answers["POST /v1/log"] = (status, {"message": "no"})
    assert submit() == code


@pytest.mark.parametrize("token", ["", "two words", "a\nb", "tok\u00e9n"])
def test_unusable_token_is_refused_before_any_call(
    submit, write, platform, node, token
):
    """Guards against header injection and unauthenticated requests."""
    path = write(token, "other")
    assert submit("--token-file", path) == exit_codes.EXIT_USAGE
    assert not platform.requests + node.requests


@pytest.mark.parametrize(
    "command",
    [
        ["status"],
        ["patch", "show", "p1"],
        ["explain", "GET /specs/7"],
        ["domain", "out", "hobart"],
    ],
)
def test_node_not_reachable_exits_4(command, capsys):
    """Guards against a traceback when the node is down."""
    code = cli.main([*command, "--node", unused_address()])
    assert code == exit_codes.EXIT_UNREACHABLE
    assert "Connection refused" in capsys.readouterr().err


def test_next_node_is_asked_when_the_first_is_down(node, capsys):
    """Guards against a command that fails because one node is down."""
    addresses = f"{unused_address()},{node.address}"
    assert cli.main(["status", "--node", addresses]) == exit_codes.EXIT_OK


@pytest.mark.parametrize("command", [["status"], ["domain", "out", "hobart"]])
def test_missing_node_address_exits_2(command, capsys):
    """Guards against an empty address reaching the HTTP client."""
    assert cli.main(command) == exit_codes.EXIT_USAGE
    assert "give --node IP:port or --profile" in capsys.readouterr().err


@pytest.mark.parametrize(
    "document",
    [{"node": "localhost:1"}, {"nodes": "127.0.0.1:1"}, {"node": 1}, []],
)
def test_bad_profile_exits_2(write, document):
    """Guards against silently ignoring a misspelled key."""
    path = write(document)
    assert cli.main(["status", "--profile", path]) == exit_codes.EXIT_USAGE


@pytest.mark.parametrize("body", [b"[]", b"{", b"[" * 100_000])
def test_answer_that_is_no_object_is_an_error(node, capsys, body):
    """Guards against a traceback when another server uses the port."""
    node.answers["GET /status"] = (200, body)
    code = cli.main(["status", "--node", node.address])
    assert code == exit_codes.EXIT_UNREACHABLE
    assert "did not answer with a JSON object" in capsys.readouterr().err


@pytest.mark.parametrize("state", ["out", "in"])
def test_domain_patch_sets_only_the_state(profile, platform, node, state):
    """R5: guards against a domain patch that conflicts with other patches."""
    accepted = {"verdict": "accepted", "version": 8, "sequence": 12}
    node.next_response = unknown_until_published(node, (200, accepted))
    command = ["domain", state, "hobart", "--profile", profile]
    assert cli.main(command) == exit_codes.EXIT_OK
    [(_, _, patch, _)] = platform.requests
    assert patch["base"] == 7
    assert patch["operations"] == [builders.domain_state("hobart", state)]


def unknown_until_published(fake, later_response):
    """Return unknown for the first patch look-up, then later_response."""
    original = fake.next_response
    look_ups = []

    def next_response(method, path):
        if not path.startswith("/patches/") or path == "/patches/check":
            return original(method, path)
        look_ups.append(path)
        return later_response if len(look_ups) > 1 else UNKNOWN

    return next_response


def test_domain_ids_differ(profile, platform, node):
    """Guards against two domain patches that get the same id."""
    accepted = {"verdict": "accepted", "version": 8, "sequence": 12}
    for _ in range(2):
        node.next_response = unknown_until_published(node, (200, accepted))
        cli.main(["domain", "out", "x" * 63, "--profile", profile])
        del node.next_response
    first, second = (body["id"] for _, _, body, _ in platform.requests)
    assert first != second
    assert max(len(first), len(second)) <= 64


def test_domain_name_is_checked_before_publishing(profile, platform):
    """Guards against publishing a patch that every node rejects."""
    command = ["domain", "out", "Hobart", "--profile", profile]
    assert cli.main(command) == exit_codes.EXIT_USAGE
    assert not platform.requests


def test_status_shows_versions_and_laggards(node, capsys):
    """Guards against a status that does not list lagging hosts."""
    assert cli.main(["status", "--node", node.address]) == exit_codes.EXIT_OK
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith("spec-desk-1: version 7, digest abababababab")
    assert lines[2].split() == [
        "south-tas",
        "hobart",
        "7",
        "abababababab",
        "4",
    ]
    assert lines[4] == (
        "lagging: kiln-desk-3 in south-tas/hobart holds version 6"
    )


def test_status_as_json_is_the_node_answer(node, capsys):
    """Guards against JSON output that differs from the node's response."""
    cli.main(["status", "--node", node.address, "--format", "json"])
    assert json.loads(capsys.readouterr().out) == STATUS


def test_explain_passes_method_path_and_client_account(node, capsys):
    """Guards against losing the query string of the path."""
    answer = {"route": "specs", "candidates": ["a", "b"], "refusal": None}
    node.answers["GET /explain"] = (200, answer)
    code = cli.main(
        ["explain", "get /specs/7?a=b&c", "--tenant", "builders"]
        + ["--node", node.address]
    )
    assert code == exit_codes.EXIT_OK
    assert capsys.readouterr().out.splitlines()[:2] == [
        "route: specs",
        "candidates: a, b",
    ]
    [(_, target, _, _)] = node.calls("GET", "/explain")
    assert target == (
        "/explain?method=GET&path=%2Fspecs%2F7%3Fa%3Db%26c&tenant=builders"
    )


@pytest.mark.parametrize("request_text", ["", "GET", "GET specs", "/specs"])
def test_malformed_request_exits_2(request_text):
    """Guards against sending a malformed request to a node."""
    command = ["explain", request_text, "--node", "127.0.0.1:1"]
    assert cli.main(command) == exit_codes.EXIT_USAGE


@pytest.mark.parametrize(
    ("verdict", "code"),
    [
        (ACCEPTED, exit_codes.EXIT_OK),
        (REJECTED, exit_codes.EXIT_REJECTED),
        (UNKNOWN, exit_codes.EXIT_REJECTED),
    ],
)
def test_patch_show_exit_code(node, verdict, code):
    """Guards against the same exit code for unknown and accepted."""
    node.answers["GET /patches/p1"] = verdict
    command = ["patch", "show", "p1", "--node", node.address]
    assert cli.main(command) == code


def test_patch_check_judges_at_node_without_publishing(write, node, capsys):
    """Guards against a check that publishes the patch."""
    path = write(PATCH)
    assert cli.main(["patch", "check", path]) == exit_codes.EXIT_OK
    assert not node.requests
    assert cli.main(["patch", "check", path, "--node", node.address]) == 0
    assert [item[:2] for item in node.requests] == [("POST", "/patches/check")]


@pytest.fixture
def run_node(monkeypatch, write):
    """Return a function that runs `node` with a fake node module."""
    monkeypatch.setattr(cli, "_patch_standard_library", lambda locks: None)

    def run_with(run, settings=SETTINGS):
        module = types.SimpleNamespace(run=run)
        monkeypatch.setitem(sys.modules, "hickorythread.node", module)
        return cli.main(["node", "--settings", write(settings)])

    return run_with


def raising(error):
    def run(settings):
        raise error

    return run


def test_node_returns_the_exit_code_of_run(run_node):
    """Guards against a failed node that exits 0."""
    assert run_node(lambda settings: 0) == 0
    assert run_node(lambda settings: 4) == 4


def test_node_refuses_wrong_settings_before_it_runs(run_node, capsys):
    """Guards against a node that starts with invalid settings."""
    code = run_node(raising(AssertionError), {"host_id": "a"})
    assert code == exit_codes.EXIT_USAGE
    assert "'region' is a required property" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("error", "code"),
    [
        (OSError(errno.EADDRINUSE, "in use"), exit_codes.EXIT_ADDRESS_IN_USE),
        (OSError(errno.EADDRNOTAVAIL, "no such"), exit_codes.EXIT_USAGE),
        (PermissionError(errno.EACCES, "denied"), exit_codes.EXIT_USAGE),
        (socket.gaierror(-2, "not known"), exit_codes.EXIT_USAGE),
        (exceptions.InvariantError("moved back"), exit_codes.EXIT_INVARIANT),
        (ZeroDivisionError(), exit_codes.EXIT_INVARIANT),
        (OSError(errno.ENOSPC, "full"), exit_codes.EXIT_INVARIANT),
        (KeyboardInterrupt(), exit_codes.EXIT_INTERRUPTED),
    ],
)
def test_node_failure_maps_to_exit_code(run_node, error, code):
    """Guards against failures that a supervisor cannot distinguish."""
    assert run_node(raising(error)) == code


def test_address_in_use_of_a_real_socket_exits_3(run_node, capsys):
    """Guards against an errno that differs from the mapped one."""

    def run(settings):
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            first.listen()
            second.bind(first.getsockname())

    assert run_node(run) == exit_codes.EXIT_ADDRESS_IN_USE
    assert "choose another address" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "call"),
    [
        (
            ["platform", "--address", "127.0.0.1:1", "--token", "t"],
            {"address": "127.0.0.1:1", "token": "t", "hosts": ""},
        ),
        (
            ["upstream", "--name", "u", "--slots", "6"],
            {
                "address": "127.0.0.1:7701",
                "name": "u",
                "slots": 6,
                "connections": 120,
                "work_ms": 2.0,
                "warm_seconds": 10.0,
                "refuse_seconds": 1.0,
            },
        ),
        (
            ["caller", "127.0.0.1:1,127.0.0.1:2", "--rate", "5"],
            {
                "entries": "127.0.0.1:1,127.0.0.1:2",
                "deployment": "guild",
                "rate": 5.0,
                "seconds": 10.0,
                "seed": 1,
                "results": "",
            },
        ),
    ],
)
def test_standin_arguments(monkeypatch, arguments, call):
    """Guards against flags that are passed to the wrong parameter."""
    monkeypatch.setattr(cli, "_patch_standard_library", lambda locks: None)
    calls = []

    def record(name):
        return lambda **values: calls.append((name, values))

    module = types.SimpleNamespace(
        run_platform=record("platform"),
        run_target=record("upstream"),
        run_caller=record("caller"),
    )
    monkeypatch.setitem(sys.modules, "hickorythread.standins", module)
    assert cli.main(["standin", *arguments]) == exit_codes.EXIT_OK
    assert calls == [(arguments[0], call)]


@pytest.mark.parametrize(
    "arguments",
    [[], ["absent"], ["patch"], ["check"], ["status", "--format", "xml"]],
)
def test_usage_errors_exit_2(arguments, capsys):
    """Guards against a usage error with the exit code of another failure."""
    with pytest.raises(SystemExit) as raised:
        cli.main(arguments)
    assert raised.value.code == exit_codes.EXIT_USAGE
    assert "usage: hickorythread" in capsys.readouterr().err


def test_help_documents_every_exit_code(capsys):
    """Guards against an undocumented exit code."""
    with pytest.raises(SystemExit):
        cli.main(["--help"])
    output = capsys.readouterr().out
    for code in range(6):
        assert f"\n  {code}  " in output


def commands(table, path=()):
    for name, command in table.items():
        if isinstance(command, dict):
            yield from commands(command, (*path, name))
        else:
            yield [*path, name]


@pytest.mark.parametrize("path", list(commands(cli.COMMANDS)), ids="-".join)
def test_every_command_has_help(path, capsys):
    """Guards against a docstring that defopt cannot parse."""
    with pytest.raises(SystemExit) as raised:
        cli.main([*path, "--help"])
    assert raised.value.code == 0
    assert f"usage: hickorythread {' '.join(path)}" in capsys.readouterr().out
