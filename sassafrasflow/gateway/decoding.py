"""Decode content that other processes wrote.

The field types bound numbers and texts, so that every value can be computed
with and encoded again, whatever its writer sent.
"""

from collections.abc import Callable
from typing import Annotated
from typing import TypeVar

import msgspec

from sassafrasflow import ids

__all__ = [
    "Count",
    "Era",
    "Host",
    "Int",
    "Name",
    "Number",
    "Port",
    "Text",
    "decode",
]

T = TypeVar("T")

# The encodings hold integers of 64 bits.
MAX_INT = 2**63 - 1
# Sums of counts stay within 64 bits.
MAX_COUNT = 2**53 - 1
MAX_NUMBER = 1e15
# Names and texts become parts of headers, where a control character would end
# the header. The store allows keys of 200 bytes.
NAME_PATTERN = r"\A[^\x00-\x1f\x7f]{0,200}\Z"
TEXT_PATTERN = r"\A[^\x00-\x1f\x7f]*\Z"
# Host names would be resolved, which blocks the process for datagrams.
HOST_PATTERN = r"\A[0-9]{1,3}(\.[0-9]{1,3}){3}\Z"

Int = Annotated[int, msgspec.Meta(ge=-MAX_INT, le=MAX_INT)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Number = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Era = Annotated[ids.StoreEra, msgspec.Meta(ge=0, le=MAX_COUNT)]
Host = Annotated[str, msgspec.Meta(pattern=HOST_PATTERN)]
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Text = Annotated[str, msgspec.Meta(pattern=TEXT_PATTERN)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


def decode(decoder: Callable[[bytes], T], content: bytes) -> T:
    """Decode content with a function of ``msgspec``.

    Raises
    ------
    ValueError : the content is not of the decoder's type
    """
    try:
        return decoder(content)
    except RecursionError as exc:
        # Deep nesting, also in a field that the type lacks.
        raise ValueError("nested too deeply") from exc
