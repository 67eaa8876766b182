"""The daemon on the users' platform: runs one gateway host in one process."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import structlog
from result import Err, Ok

from marigoldswitch.allocator import release_large_blocks
from marigoldswitch.gateway.hosts import GatewayHost
from marigoldswitch.gateway.ports import HostSettings
from marigoldswitch.logs import BoundedStream, configure_logs
from marigoldswitch.platform.compose import compose_gateway
from marigoldswitch.platform.settings import SETTINGS_FILE_VARIABLE, read_settings

logger = structlog.get_logger(__name__)

INVALID_SETTINGS_STATUS = 2
SETTINGS_POLL_SECONDS = 2.0
"""Interval of checks for a changed settings file, as long as a configuration may take
to come into force."""


def serve(
    *, settings_file: Path | None = None, check: bool = False, log_level: str = "info"
) -> int:
    """Run one gateway host until SIGTERM or SIGINT.

    :param settings_file: the platform's settings file; by default the one named by the
        environment variable MARIGOLDSWITCH_CONFIG.
    :param check: check the settings and exit.
    :param log_level: lowest level of the lines that are logged.
    """
    path = settings_file or Path(os.environ.get(SETTINGS_FILE_VARIABLE, ""))
    match read_settings(path):
        case Err(faults):
            print(faults, file=sys.stderr)
            return INVALID_SETTINGS_STATUS
        case Ok((settings, store_address)):
            pass
    if check:
        print(f"{path}: fine")
        return 0
    release_large_blocks()
    stream = BoundedStream(sys.stdout.fileno())
    # No operator can ask this daemon for a trail.
    configure_logs(log_level, stream, keeps_trail=False)
    structlog.contextvars.bind_contextvars(host=settings.identity.name)
    asyncio.run(_run(path, settings, store_address))
    return 0


async def _run(path: Path, settings: HostSettings, store_address: str) -> None:
    """Run a host; the first stop signal drains it, a second one stops it at once."""
    drain_requested, stop_requested = asyncio.Event(), asyncio.Event()

    def handle_signal() -> None:
        (stop_requested if drain_requested.is_set() else drain_requested).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, handle_signal)
    host = compose_gateway(settings, store_address)
    reloader = SettingsReloader(path, store_address, host)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await host.start()
    watch_task = asyncio.create_task(reloader.watch())
    await drain_requested.wait()
    watch_task.cancel()
    drain_task = asyncio.create_task(host.drain())
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait([drain_task, stop_task], return_when=asyncio.FIRST_COMPLETED)
    drain_task.cancel()
    stop_task.cancel()
    await host.stop()


class SettingsReloader:
    """Applies the settings to a host when their file has changed."""

    def __init__(self, path: Path, store_address: str, host: GatewayHost) -> None:
        self._path = path
        self._store_address = store_address
        self._host = host
        self._last_state = self._read_file_state()

    async def watch(self) -> None:
        """Poll the file and reload it on change, as it may change without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_POLL_SECONDS)
            if self._read_file_state() != self._last_state:
                try:
                    self.reload()
                except Exception:
                    logger.exception("reload_failed", path=str(self._path))

    def reload(self) -> None:
        """Read and apply the file; an invalid one leaves the settings unchanged."""
        self._last_state = self._read_file_state()
        match read_settings(self._path):
            case Err(faults):
                logger.error("settings_refused", why=faults)
            case Ok((settings, store_address)):
                if store_address != self._store_address:
                    names = ["platform.address"]
                    logger.warning("settings_need_restart", settings=names)
                self._host.apply_settings(settings)

    def _read_file_state(self) -> tuple[int, int] | None:
        """Return modification time in ns and size; ``None`` if they can't be read."""
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size


def main() -> None:
    """Run the daemon from the command line."""
    if len(sys.argv) == 1:
        # The platform starts the daemon without arguments. The argument parser is not
        # imported then: it and its dependencies take a good part of the start-up time.
        sys.exit(serve())
    import defopt

    sys.exit(defopt.run(serve))


if __name__ == "__main__":
    main()
