"""Settings of a process, read from flags and environment variables and checked at startup."""

import argparse
import os
import sys
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from verbenashore.exceptions import SettingsError
from verbenashore.version import __version__

EXIT_BAD_SETTINGS = 2
ENVIRONMENT_PREFIX = "VERBENA_"


class Setting(msgspec.Struct, frozen=True):
    """One setting of a process.

    :param name: the flag without its dashes, such as ``listen``.
    :param parse: converts the text to a value, or raises ``ValueError``.
    :param help: the text for ``--help``, with the unit.
    :param default: the text used when the setting is absent; None makes the setting required.
    """

    name: str
    parse: Callable[[str], Any]
    help: str
    default: str | None = None

    @property
    def attribute(self) -> str:
        """The attribute of the parsed namespace that holds the value."""
        return self.name.replace("-", "_")

    @property
    def environment_variable(self) -> str:
        """The environment variable that is read when the flag is absent."""
        return ENVIRONMENT_PREFIX + self.attribute.upper()


class Address(msgspec.Struct, frozen=True):
    """An IPv4 address and a port.

    :param host: the IPv4 address.
    :param port: the TCP or UDP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parses ``IP:PORT``."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not IP:PORT")
    if not all(part.isdigit() and int(part) < 256 for part in host.split(".")):
        raise ValueError(f"{host!r} is not an IPv4 address")
    return Address(host, int(port))


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Parses addresses separated by commas."""
    return tuple(parse_address(part) for part in text.split(",") if part)


def parse_seconds(text: str) -> float:
    """Parses a positive number of seconds."""
    value = float(text)
    if not 0 < value < 1e9:
        raise ValueError(f"{text!r} is not a positive number of seconds")
    return value


def parse_count(text: str) -> int:
    """Parses an integer of at least 1."""
    value = int(text)
    if value < 1:
        raise ValueError(f"{text!r} is not an integer of at least 1")
    return value


def parse_name(text: str) -> str:
    """Parses a name made of letters, digits, dashes, dots and underscores."""
    if not text or not all(c.isalnum() or c in "-_." for c in text):
        raise ValueError(f"{text!r} may hold only letters, digits, '-', '.' and '_'")
    return text


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Returns a parser that accepts only the given words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
        return text

    return parse


#: Settings of a process that accepts connections from the system's other processes.
SERVER = (
    Setting("listen", parse_address, "IP:PORT to listen on for the system's other processes"),
    Setting(
        "advertise",
        parse_addresses,
        "IP:PORT at which peers reach this process; --listen if empty",
        "",
    ),
    Setting("health", parse_addresses, "IP:PORT to serve the health page on; no page if empty", ""),
)

#: Settings that every long-running process has.
COMMON = (
    Setting("name", parse_name, "name of this process, unique in the deployment"),
    Setting("data-centre", parse_name, "data centre this process runs in"),
    Setting("region", parse_name, "region this process runs in", "default"),
    Setting("log-format", parse_choice("json", "text"), "format of the log lines", "json"),
    Setting(
        "memory-mb", parse_count, "memory of this process in MiB, of which callers get 30%", "1024"
    ),
    Setting("max-fds", parse_count, "file descriptors that this process may open", "4100"),
    Setting("statsd", parse_addresses, "statsd daemon as IP:PORT; none if empty", ""),
)


def advertised_address(values: argparse.Namespace) -> str:
    """Returns the address at which other processes reach this one."""
    return str(values.advertise[0] if values.advertise else values.listen)


def build_parser(
    program: str, description: str, settings: Sequence[Setting]
) -> argparse.ArgumentParser:
    """Returns a parser whose help names each flag and its environment variable."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    for setting in settings:
        default = "required" if setting.default is None else f"default: {setting.default!r}"
        parser.add_argument(
            f"--{setting.name}",
            metavar="VALUE",
            help=f"{setting.help} ({default}; {setting.environment_variable})",
        )
    return parser


def read(
    parser: argparse.ArgumentParser, settings: Sequence[Setting], arguments: Sequence[str]
) -> argparse.Namespace:
    """Reads all settings; one error names all that are missing or malformed.

    :raises SettingsError: if any setting is missing or malformed.
    """
    flags = parser.parse_args(arguments)
    values = argparse.Namespace()
    problems = []
    for setting in settings:
        text = getattr(flags, setting.attribute)
        if text is None:
            text = os.environ.get(setting.environment_variable, setting.default)
        if text is None:
            problems.append(f"--{setting.name} ({setting.environment_variable}) is required")
            continue
        try:
            setattr(values, setting.attribute, setting.parse(text))
        except ValueError as error:
            problems.append(f"--{setting.name} ({setting.environment_variable}): {error}")
    if problems:
        raise SettingsError(problems)
    return values


def read_or_exit(
    program: str, description: str, settings: Sequence[Setting], arguments: Sequence[str] | None
) -> argparse.Namespace:
    """Reads all settings; exits with code 2 after a line for each missing or malformed one."""
    parser = build_parser(program, description, settings)
    try:
        return read(parser, settings, sys.argv[1:] if arguments is None else arguments)
    except SettingsError as error:
        for problem in error.problems:
            print(f"{program}: {problem}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from None
