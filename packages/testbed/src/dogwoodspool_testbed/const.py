"""Constants of deployments for tests, demo and measurements."""

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
START_SECONDS: Final = 20.0
STOP_SECONDS: Final = 5.0
# Longer than the control processes of a test take to notice a frozen leader and to
# elect another, also on a busy machine.
ELECTION_SECONDS: Final = 10.0
