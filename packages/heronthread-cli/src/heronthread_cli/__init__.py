"""The operator's command line of heronthread."""

from .exits import BadInput, CommandError, Exit
from .main import main

__all__ = ["BadInput", "CommandError", "Exit", "main"]
