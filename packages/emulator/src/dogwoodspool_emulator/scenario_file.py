"""Read scenario files."""

import tomllib
from pathlib import Path

from dogwoodspool_common import first_problem
from pydantic import ValidationError

from .errors import ScenarioError
from .models import Scenario


def read_scenario(path: Path) -> Scenario:
    """Read a scenario from a TOML file.

    Raises:
        ScenarioError: one line with the file and its first problem.
    """
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
        return Scenario.model_validate(content)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from error
    except ValidationError as error:
        raise ScenarioError(f"{path}: {first_problem(error)}") from error
