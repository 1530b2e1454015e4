"""Run the operators' command line."""

from .const import ExitCode
from .main import execute, main, run

__all__ = ["ExitCode", "execute", "main", "run"]
