"""Refuse the platform's own names outside of its folder."""

import re
import sys
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent

# Words of the platform's text protocol, of its messages, settings and headers. What
# the project itself calls something else must not come back under these names.
NAMES: Final = re.compile(
    r"\b(WAITLSN|STEPDOWN|DATAROW|MISROUTED|CONNLIMIT|INDOUBT|NOSTMT|NODB|DEALLOC"
    r"|LAGGING|heartbeatAddr|warmupLeftMs|dbRole|pathPrefix|maxStalenessMs"
    r"|targetLatencyMs|txIdleMs|syncReplicas|maxConns|internalPorts|faultTolerance"
    r"|DOGWOODSPOOL_BOOT|Dogwoodspool-Lease-Holder|Dogwoodspool-Fencing-Token)\b"
)


def main() -> int:
    """Print each line with a foreign name; exit 1 where there is one."""
    found = 0
    for path in sorted((ROOT / "packages").rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if NAMES.search(line):
                print(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
                found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
