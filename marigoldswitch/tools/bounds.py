"""Prints an upper bound on the load that the engines of each data centre can carry.

The bound holds for any layout of layers over engines. ``python -m
marigoldswitch.tools.bounds CONFIGURATION TARGETS`` reads the operator's configuration
and a JSON list of target rows, both in the format of the platform's store.
"""

import sys
from collections.abc import Iterable
from pathlib import Path

import defopt
import orjson
from result import Err, Ok

from marigoldswitch.core.bounds import compute_load_bound
from marigoldswitch.core.catalogue import Target
from marigoldswitch.core.ids import DataCentre
from marigoldswitch.core.models import ModelSpec
from marigoldswitch.platform.configuration import decode_configuration, decode_target


def format_centres(
    model: ModelSpec, targets: Iterable[Target], prompt: float, answer: float
) -> list[str]:
    """Return one line for each data centre with engines usable for the model.

    :param prompt: tokens of a typical prompt.
    :param answer: tokens of a typical answer.
    """
    centres: dict[DataCentre, list[Target]] = {}
    for item in targets:
        if item.accelerator in model.accelerators:
            centres.setdefault(item.data_centre, []).append(item)
    lines = []
    for centre, engines in sorted(centres.items()):
        accelerators = [model.accelerators[item.accelerator] for item in engines]
        load = compute_load_bound(model, accelerators, prompt, answer)
        lines.append(
            f"{centre}: {len(engines)} engines, {load.tokens:.0f} tokens in flight,"
            f" {load.seconds:.2f} s a request, {load.rate:.1f} requests/s"
        )
    return lines


def show(
    configuration: Path, targets: Path, *, prompt: float = 774.0, answer: float = 210.0
) -> None:
    """Print the most that each data centre can carry of each model service.

    :param configuration: JSON file with the operator's configuration.
    :param targets: JSON file with a list of target rows.
    :param prompt: tokens of a typical prompt.
    :param answer: tokens of a typical answer.
    """
    match decode_configuration(configuration.read_bytes()):
        case Err(why):
            sys.exit(f"{configuration}: {why}")
        case Ok(stored):
            services = stored.table.services
    rows = []
    for number, row in enumerate(orjson.loads(targets.read_bytes())):
        match decode_target(f"row {number}", orjson.dumps(row), 1):
            case Ok(decoded):
                rows.append(decoded.target)
            case Err(why):
                print(f"{targets}: row {number} left out: {why}", file=sys.stderr)
    for service in services.values():
        if service.model is not None:
            service_targets = [item for item in rows if item.service == service.name]
            print(service.name)
            for line in format_centres(service.model, service_targets, prompt, answer):
                print(f"  {line}")


if __name__ == "__main__":
    defopt.run(show)
