"""Builds plain targets as the registry knows them, for tests of their ends."""

from types import SimpleNamespace

from marigoldswitch.core.ids import DataCentre, ServiceName, TargetId


def build_target(name, address=None, centre="north"):
    return SimpleNamespace(
        id=TargetId(name),
        service=ServiceName("desk"),
        address=address or name,
        accelerator="",
        layers=None,
        data_centre=DataCentre(centre),
    )
