"""The daemon ``marigoldswitchd``: one host in one process."""

import asyncio
import signal
import sys
from pathlib import Path

import defopt
from result import Err, Ok

from marigoldswitch.compose import compose_host
from marigoldswitch.logs import configure_logs
from marigoldswitch.settings import Settings, read_settings

WRONG_SETTINGS_STATUS = 2


def serve(settings_file: Path, *, check: bool = False) -> int:
    """Run one host until SIGTERM or SIGINT.

    :param settings_file: YAML file with the settings.
    :param check: only check the settings.
    """
    match read_settings(settings_file):
        case Err(faults):
            print("\n".join(faults), file=sys.stderr)
            return WRONG_SETTINGS_STATUS
        case Ok(settings):
            pass
    if check:
        print(f"{settings_file}: fine")
        return 0
    configure_logs(settings.logs.level)
    asyncio.run(_run_host(settings))
    return 0


async def _run_host(settings: Settings) -> None:
    """Run a host; a first signal drains it, a second one stops it at once."""
    first, second = asyncio.Event(), asyncio.Event()

    def take_signal() -> None:
        (second if first.is_set() else first).set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, take_signal)
    host = compose_host(settings)
    await host.start()
    await first.wait()
    drained = asyncio.create_task(host.drain())
    hurried = asyncio.create_task(second.wait())
    await asyncio.wait([drained, hurried], return_when=asyncio.FIRST_COMPLETED)
    drained.cancel()
    hurried.cancel()
    await host.stop()


def main() -> None:
    """Entry point."""
    sys.exit(defopt.run(serve))


if __name__ == "__main__":
    main()
