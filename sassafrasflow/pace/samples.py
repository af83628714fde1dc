"""Samples of response times, and their compact form in messages."""

import enum
import math

import msgspec

__all__ = [
    "MAX_COUNT",
    "Sample",
    "Summary",
    "WorkKind",
    "pack_sample",
    "pack_summary",
    "unpack_sample",
    "unpack_summary",
]

# A time takes a byte: twelfths of an octave from 61 us to 150 s. Steps of 6%
# are well within the dead band.
STEPS_PER_OCTAVE = 12
MIN_OCTAVE = -14
MAX_TIME_CODE = 255
# Loads and limits beyond 31 requests are taken as 31; engines have 12 slots.
MAX_LOAD_CODE = 31
MAX_COUNT = 15


class WorkKind(enum.Enum):
    """Kind of work that is timed."""

    # Time to the first event, for each 1,000 tokens of the prompt.
    FIRST_EVENT = "first_event"
    # Mean gap between further events.
    EVENT = "event"
    # Duration of a short call.
    CALL = "call"


_KINDS = tuple(WorkKind)


class Sample(msgspec.Struct, frozen=True):
    """Time of a response, and the target's load when it was requested."""

    kind: WorkKind
    seconds: float
    # Load without the request itself.
    load: float

    @property
    def is_valid(self) -> bool:
        """Return whether the time is in the range that messages can hold."""
        return (
            math.isfinite(self.load)
            and self.load >= 0
            and math.isfinite(self.seconds)
            and self.seconds > 0
            and 0 <= _time_code(self.seconds) <= MAX_TIME_CODE
        )


class Summary(msgspec.Struct, frozen=True):
    """Median sample of a target, the number of samples and the limit."""

    sample: Sample
    count: int
    # Load from which on the target is slow, or None if none is known.
    limit: int | None = None


def _time_code(seconds: float) -> int:
    return round(STEPS_PER_OCTAVE * (math.log2(seconds) - MIN_OCTAVE))


def pack_sample(sample: Sample) -> int:
    """Return a valid sample as an integer of 15 bits."""
    load = min(MAX_LOAD_CODE, round(sample.load))
    kind = _KINDS.index(sample.kind)
    return (kind << 13) | (_time_code(sample.seconds) << 5) | load


def unpack_sample(code: int) -> Sample:
    """Return the sample of an integer.

    Raises
    ------
    ValueError : the integer is no packed sample
    """
    kind = code >> 13
    if not 0 <= kind < len(_KINDS):
        raise ValueError(f"{code} is no sample")
    octave = ((code >> 5) & MAX_TIME_CODE) / STEPS_PER_OCTAVE + MIN_OCTAVE
    return Sample(_KINDS[kind], 2.0**octave, float(code & MAX_LOAD_CODE))


def pack_summary(summary: Summary) -> int:
    """Return a valid summary as an integer of 24 bits."""
    count = min(MAX_COUNT, summary.count)
    limit = min(MAX_LOAD_CODE, summary.limit or 0)
    return (pack_sample(summary.sample) << 9) | (count << 5) | limit


def unpack_summary(code: int) -> Summary:
    """Return the summary of an integer.

    Raises
    ------
    ValueError : the integer is no packed summary
    """
    sample = unpack_sample(code >> 9)
    count = (code >> 5) & MAX_COUNT
    if not count:
        raise ValueError(f"{code} is a summary of no samples")
    return Summary(sample, count, (code & MAX_LOAD_CODE) or None)
