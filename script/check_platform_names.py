"""Check that packages/ uses none of the platform's own names."""

import re
import sys
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parent.parent

# Words of the platform's text protocol, messages, settings and headers. The packages
# have names of their own for these concepts and must not use the platform's.
NAMES: Final = re.compile(
    r"\b(WAITLSN|STEPDOWN|DATAROW|MISROUTED|CONNLIMIT|INDOUBT|NOSTMT|NODB|DEALLOC"
    r"|LAGGING|heartbeatAddr|warmupLeftMs|dbRole|pathPrefix|maxStalenessMs"
    r"|targetLatencyMs|txIdleMs|syncReplicas|maxConns|internalPorts|faultTolerance"
    r"|DOGWOODSPOOL_BOOT|Dogwoodspool-Lease-Holder|Dogwoodspool-Fencing-Token)\b"
)


def main() -> int:
    """Print each line with a name of the platform; return 1 if there is any."""
    found = 0
    for path in sorted((ROOT / "packages").rglob("*.py")):
        for number, line in enumerate(path.read_text().splitlines(), start=1):
            if NAMES.search(line):
                print(f"{path.relative_to(ROOT)}:{number}: {line.strip()}")
                found += 1
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
