"""Codec of the messages between hosts: ``msgpack``, checked against their classes."""

import dataclasses
import typing
from enum import Enum
from typing import Any, cast

import msgpack
from pydantic import TypeAdapter, ValidationError
from result import Err, Ok, Result

from marigoldswitch.core import messages

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Largest frame; the largest message carries a whole bundle."""

_TYPES: dict[str, type[Any]] = {
    item.__name__: item for item in typing.get_args(messages.Message)
}
_ADAPTERS: dict[str, TypeAdapter[Any]] = {
    name: TypeAdapter(item) for name, item in _TYPES.items()
}


def _to_plain(value: object) -> object:
    if isinstance(value, Enum):
        return value.value
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            item.name: _to_plain(getattr(value, item.name))
            for item in dataclasses.fields(value)
        }
    if isinstance(value, tuple):
        return [_to_plain(item) for item in value]
    return value


def encode_message(message: messages.Message) -> bytes:
    """Return a message as bytes."""
    packed = msgpack.packb([type(message).__name__, _to_plain(message)])
    return cast(bytes, packed)


def decode_message(data: bytes) -> Result[messages.Message, str]:
    """Return the message that some bytes hold, or what is wrong with them."""
    try:
        name, fields = msgpack.unpackb(data)
        return Ok(_ADAPTERS[name].validate_python(fields))
    except ValidationError as error:
        return Err(f"wrong field: {error.error_count()} faults in {name}")
    except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        return Err(f"no message: {type(error).__name__}")
