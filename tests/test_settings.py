"""Settings: by flag and environment, checked at the start, all faults at once."""

import pytest

from verbenashore import cmdline, ledger, settings
from verbenashore.exceptions import SettingsError


def read(arguments):
    """Reads the settings of a ledger process."""
    parser = settings.build_parser("p", "", ledger.SETTINGS)
    return settings.read(parser, ledger.SETTINGS, arguments)


GOOD = [
    *("--name", "n", "--data-centre", "d", "--listen", "127.0.0.1:1"),
    *("--data", "/x", "--initial", "n=127.0.0.1:1"),
]


def test_good_settings_are_read():
    values = read([*GOOD, "--groups", "0,1,2"])
    assert values.groups == (0, 1, 2)
    assert str(values.initial["n"]) == "127.0.0.1:1"
    assert settings.advertised(values) == "127.0.0.1:1"


def test_a_flag_goes_before_the_environment(monkeypatch):
    monkeypatch.setenv("VERBENA_REPLICAS", "5")
    assert read(GOOD).replicas == 5
    assert read([*GOOD, "--replicas", "3"]).replicas == 3


def test_all_faults_are_named_at_once():
    with pytest.raises(SettingsError) as refused:
        read(["--name", "a b", "--listen", "localhost:1", "--replicas", "0", "--groups", "x"])
    named = {fault.split()[0] for fault in refused.value.faults}
    expected = {"--name", "--listen", "--replicas", "--groups", "--data-centre", "--data"}
    assert expected <= named


def test_bad_settings_end_the_program_with_code_2(capsys):
    with pytest.raises(SystemExit) as ended:
        ledger.main([])
    assert ended.value.code == 2
    assert "--listen (VERBENA_LISTEN) is required" in capsys.readouterr().err


def test_the_command_line_says_what_it_needs():
    with pytest.raises(SystemExit) as ended:
        cmdline.main(["status"])
    assert ended.value.code == 2
