"""Program dogwoodspool-control."""

import random

from dogwoodspool_common import (
    Address,
    JsonClient,
    JsonServer,
    RequestSigner,
    SettingsError,
    SystemClock,
    log_event,
    read_settings,
    run_program,
    set_up_logging,
    set_up_tracing,
    stop_event_on_signals,
    write_ready_file,
)
from dogwoodspool_consensus import (
    ConsensusNode,
    ConsensusSettings,
    FileLogStorage,
    HttpPeerTransport,
    StorageError,
)

from .const import HTTP_THREADS, PROGRAM_NAME
from .grants.release import HttpReleaseClient
from .options import USAGE, ControlOptions
from .promotion.role_changers import SqlRoleChangers
from .runtime import ControlRuntime
from .state import ControlState


def main() -> int:
    """Run a voter until a stop signal."""
    options = read_settings(USAGE, ControlOptions)
    _check_voters(options)
    set_up_logging(PROGRAM_NAME, options.node_id, options.log_level)
    set_up_tracing(PROGRAM_NAME, options.node_id, options.trace_file)
    stop = stop_event_on_signals()
    key = options.shared_key.encode()
    clock = SystemClock()
    client = JsonClient(RequestSigner(key))
    state = ControlState(clock)
    consensus = _build_consensus(options, state, client)
    runtime = ControlRuntime(
        clock,
        consensus,
        state,
        role_changers=SqlRoleChangers(clock, state, options.failure_domain),
        release_client=HttpReleaseClient(client),
        secret_key=key,
    )
    server = JsonServer(
        Address.parse(options.listen),
        RequestSigner(key),
        runtime.routes,
        threads=HTTP_THREADS,
    )
    try:
        consensus.set_up()
    except StorageError as error:
        raise SettingsError(f"--data-folder: {error}") from error
    runtime.set_up()
    server.set_up()
    log_event("control_started", address=server.address)
    write_ready_file(options.ready_file, {"address": server.address})
    stop.wait()
    log_event("control_stopping")
    # The consensus node first: from then on this voter issues no grants and the other
    # voters elect a leader, while requests in progress still get their response.
    consensus.unload()
    runtime.unload()
    server.unload()
    client.close()
    return 0


def run() -> None:
    """Run the program and exit."""
    run_program(main)


def _check_voters(options: ControlOptions) -> None:
    if options.bootstrap and options.node_id not in options.voters:
        raise SettingsError(
            f"--bootstrap: --voters does not contain --node-id={options.node_id}"
        )


def _build_consensus(
    options: ControlOptions, state: ControlState, client: JsonClient
) -> ConsensusNode:
    return ConsensusNode(
        node_id=options.node_id,
        address=Address.parse(options.listen),
        storage=FileLogStorage(options.data_folder),
        machine=state,
        transport=HttpPeerTransport(client),
        clock=SystemClock(),
        settings=ConsensusSettings(),
        initial_voters=options.voters,
        rng=random.Random(),
        bootstrap=options.bootstrap,
    )


if __name__ == "__main__":
    run()
