"""Exit codes and the errors that carry them."""

from __future__ import annotations

from enum import IntEnum


class Exit(IntEnum):
    """Exit codes of `heronthread`; docs/operators/commands.md explains them."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    UNREACHABLE = 3
    CONFLICT = 4


class CommandError(Exception):
    """A command can't go on; the message says what to do about it."""

    exit_code = Exit.FAILED


class BadInput(CommandError):
    """The input is wrong and nothing was done."""

    exit_code = Exit.BAD_INPUT


class HostUnreachable(CommandError):
    """No entry host gave a usable answer; what happened may be unknown."""

    exit_code = Exit.UNREACHABLE


class ApplyConflict(CommandError):
    """Another apply came first."""

    exit_code = Exit.CONFLICT
