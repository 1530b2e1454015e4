"""Measure what control costs at several sizes, and what one proxy serves.

Usage:
  measure_slopes.py [--only PARTS]

Options:
  --only PARTS  Only these parts, separated by commas: proxy, control, saturation.
"""

import json
import os
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Final

from docopt import docopt
from dogwoodspool_load.const import SHARED_MACHINE_NOTE
from dogwoodspool_load.control_slope import measure_control
from dogwoodspool_load.proxy_slope import measure_proxy
from dogwoodspool_load.saturation import measure_saturation

ROOT: Final = Path(__file__).resolve().parent.parent
RESULTS: Final = ROOT / "measurements" / "slopes.json"


def main() -> int:
    """Measure the parts selected by the arguments and write the results."""
    arguments = docopt(__doc__ or "")
    measures: dict[str, Callable[[], Any]] = {
        "saturation": measure_saturation,
        "proxy": measure_proxy,
        "control": measure_control,
    }
    chosen: Sequence[str] = (arguments["--only"] or ",".join(measures)).split(",")
    document = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    document["command"] = "script/measure-slopes"
    document["note"] = SHARED_MACHINE_NOTE
    document["cores"] = os.cpu_count()
    for name in chosen:
        document[name] = measures[name]()
        document.setdefault("load_average", {})[name] = [
            round(value, 1) for value in os.getloadavg()
        ]
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(document, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
