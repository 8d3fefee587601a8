"""Settings from flags and environment variables: validation and exit codes."""

import pytest

from verbenashore import cmdline, ledger, settings
from verbenashore.exceptions import SettingsError


def read_ledger_settings(arguments):
    parser = settings.build_parser("p", "", ledger.SETTINGS)
    return settings.read(parser, ledger.SETTINGS, arguments)


VALID_ARGUMENTS = [
    *("--name", "n", "--data-centre", "d", "--listen", "127.0.0.1:1"),
    *("--data", "/x", "--initial", "n=127.0.0.1:1"),
]


def test_valid_settings_are_parsed():
    values = read_ledger_settings([*VALID_ARGUMENTS, "--groups", "0,1,2"])
    assert values.groups == (0, 1, 2)
    assert str(values.initial["n"]) == "127.0.0.1:1"
    assert settings.advertised_address(values) == "127.0.0.1:1"


def test_a_flag_overrides_the_environment_variable(monkeypatch):
    monkeypatch.setenv("VERBENA_REPLICAS", "5")
    assert read_ledger_settings(VALID_ARGUMENTS).replicas == 5
    assert read_ledger_settings([*VALID_ARGUMENTS, "--replicas", "3"]).replicas == 3


def test_all_invalid_settings_are_reported_at_once():
    with pytest.raises(SettingsError) as refused:
        read_ledger_settings(
            ["--name", "a b", "--listen", "localhost:1", "--replicas", "0", "--groups", "x"]
        )
    reported = {problem.split()[0] for problem in refused.value.problems}
    expected = {"--name", "--listen", "--replicas", "--groups", "--data-centre", "--data"}
    assert expected <= reported


def test_invalid_settings_exit_with_code_2(capsys):
    with pytest.raises(SystemExit) as ended:
        ledger.main([])
    assert ended.value.code == 2
    assert "--listen (VERBENA_LISTEN) is required" in capsys.readouterr().err


def test_the_command_line_exits_with_code_2_without_entry_and_key():
    with pytest.raises(SystemExit) as ended:
        cmdline.main(["status"])
    assert ended.value.code == 2
