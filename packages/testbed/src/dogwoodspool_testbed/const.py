"""Constants of deployments for tests, the demo and measurements."""

from typing import Final

HOST: Final = "127.0.0.1"
SHARED_KEY: Final = "testbed-shared-key"
TOKEN_KEY: Final = "5f" * 32
CALLER_USER: Final = "app"
CALLER_PASSWORD: Final = "app-password"
BACKEND_USER: Final = "dogwoodspool"
BACKEND_PASSWORD: Final = "backend-password"
AUTHOR: Final = "testbed"

ROLE_CONTROL: Final = "control"
ROLE_PROXY: Final = "proxy"
ROLE_STANDIN: Final = "standin"

POLL_SECONDS: Final = 0.02
READY_TIMEOUT_SECONDS: Final = 20.0
STOP_TIMEOUT_SECONDS: Final = 5.0
# Longer than the control processes of a test need to detect a frozen leader and elect
# another one, even on a busy machine.
ELECTION_TIMEOUT_SECONDS: Final = 10.0
