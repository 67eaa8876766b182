"""The daemon on the users' platform: one gateway host in one process."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import structlog
from result import Err, Ok

from marigoldswitch.gateway.hosts import GatewayHost
from marigoldswitch.gateway.ports import HostSettings
from marigoldswitch.logs import BoundedStream, configure_logs
from marigoldswitch.platform.compose import compose_gateway
from marigoldswitch.platform.settings import FILE_VARIABLE, read_settings

logger = structlog.get_logger(__name__)

WRONG_SETTINGS_STATUS = 2
LOOK_SECONDS = 2.0
"""Pause between two looks at the settings file: as long as a configuration may take to
be in force."""


def serve(
    *, settings_file: Path | None = None, check: bool = False, log_level: str = "info"
) -> int:
    """Run one gateway host until SIGTERM or SIGINT.

    :param settings_file: the platform's settings; by default the file that the
        environment variable MARIGOLDSWITCH_CONFIG names.
    :param check: only check the settings.
    :param log_level: least level of the lines that are logged.
    """
    path = settings_file or Path(os.environ.get(FILE_VARIABLE, ""))
    match read_settings(path):
        case Err(faults):
            print(faults, file=sys.stderr)
            return WRONG_SETTINGS_STATUS
        case Ok((settings, store)):
            pass
    if check:
        print(f"{path}: fine")
        return 0
    configure_logs(log_level, BoundedStream(sys.stdout.fileno()))
    structlog.contextvars.bind_contextvars(host=settings.identity.name)
    asyncio.run(_run(path, settings, store))
    return 0


async def _run(path: Path, settings: HostSettings, store: str) -> None:
    """Run a host; a first signal drains it, a second one stops it at once."""
    first, second = asyncio.Event(), asyncio.Event()

    def take_signal() -> None:
        (second if first.is_set() else first).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, take_signal)
    host = compose_gateway(settings, store)
    file = SettingsFile(path, store, host)
    loop.add_signal_handler(signal.SIGHUP, file.read)
    await host.start()
    watch = asyncio.create_task(file.watch())
    await first.wait()
    watch.cancel()
    drained = asyncio.create_task(host.drain())
    hurried = asyncio.create_task(second.wait())
    await asyncio.wait([drained, hurried], return_when=asyncio.FIRST_COMPLETED)
    drained.cancel()
    hurried.cancel()
    await host.stop()


class SettingsFile:
    """Puts the settings in force when their file has changed."""

    def __init__(self, path: Path, store: str, host: GatewayHost) -> None:
        self._path = path
        self._store = store
        self._host = host
        self._seen = self._look()

    async def watch(self) -> None:
        """Look at the file from time to time: it may change without a signal."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            if self._look() != self._seen:
                self.read()

    def read(self) -> None:
        """Read the file; one with faults leaves the settings as they are."""
        self._seen = self._look()
        match read_settings(self._path):
            case Err(faults):
                logger.error("settings_refused", why=faults)
            case Ok((fresh, store)):
                if store != self._store:
                    names = ["platform.address"]
                    logger.warning("settings_need_restart", settings=names)
                self._host.use_settings(fresh)

    def _look(self) -> tuple[int, int] | None:
        """Return what tells one content of the file from the next."""
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size


def main() -> None:
    """Entry point."""
    if len(sys.argv) == 1:
        # Without arguments, as the platform starts it, no parser is loaded: it and what
        # it needs are a good part of a start.
        sys.exit(serve())
    import defopt

    sys.exit(defopt.run(serve))


if __name__ == "__main__":
    main()
