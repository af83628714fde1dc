"""Headers between callers, instances and targets."""

from collections.abc import Sequence
import math
import re

from sassafrasflow import ids
from sassafrasflow.gateway import protocol

__all__ = ["PlatformHeaders"]

ATTEMPT_ID = b"x-request-attempt-id"
DEADLINE_REMAINING = b"x-deadline-remaining"
API_KEY = b"x-key"
LAST_EVENT_ID = b"last-event-id"
TOKEN_COUNTS = b"x-token-counts"
LENGTH_HINT = b"x-length-hint"
PROMPT_PARTS = b"x-prompt-prefix"
ORGANISATION = b"x-tenant"
EXPECTED_TARGET = b"x-expect-instance"
RANK = b"x-request-priority"
COPY_TO = b"x-kv-backup"
FROM_COPY = b"kv-from"
NOT_RUN = b"x-not-executed"
RETRY_AFTER = b"retry-after"
LEAVING = b"server-leaving"
CONTENT_LENGTH = b"content-length"

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        CONTENT_LENGTH,
        b"expect",
    }
)
# Headers that only an instance may send to a target. They are dropped from
# the requests of callers.
INSTANCE_ONLY = frozenset(
    {
        API_KEY,
        DEADLINE_REMAINING,
        LAST_EVENT_ID,
        ORGANISATION,
        EXPECTED_TARGET,
        RANK,
        COPY_TO,
        FROM_COPY,
        b"kv-fetch",
        b"x-expect-version",
        b"x-hold",
        b"x-pin-duration",
    }
)
# Headers that are forwarded even if a Connection header names them.
END_TO_END = frozenset(
    {
        ATTEMPT_ID,
        b"host",
        b"x-model",
        TOKEN_COUNTS,
        PROMPT_PARTS,
        LENGTH_HINT,
        b"x-response-seal",
        b"x-weight-versions",
        b"content-type",
    }
)
LENGTH = re.compile("[0-9]{1,18}")
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Callers send a request that may run only once again after one of these.
PROMISING_STATUSES = frozenset({408, MISDIRECTED_STATUS, 429, 503})


class PlatformHeaders(protocol.WireFormat):
    """Translate between the platform's headers and the gateway's types."""

    @property
    def attempt_id_name(self) -> bytes:
        return ATTEMPT_ID

    def read_caller(
        self, headers: Sequence[protocol.Header]
    ) -> protocol.CallerHead:
        hosts = _values(headers, b"host")
        if len(hosts) != 1:
            raise ValueError("need exactly one host")
        attempts = _values(headers, ATTEMPT_ID)
        if len(attempts) > 1:
            raise ValueError("two attempt ids")
        prompt_tokens, answer_tokens = _parse_token_counts(
            _first_value(headers, TOKEN_COUNTS)
        )
        last_event_id = _first_value(headers, LAST_EVENT_ID)
        return protocol.CallerHead(
            host=hosts[0].partition(":")[0].lower(),
            attempt_id=attempts[0] if attempts else None,
            caller_timeout_ms=_parse_number(
                _first_value(headers, DEADLINE_REMAINING)
            ),
            keys=tuple(_values(headers, API_KEY)),
            resume_after=_parse_length(last_event_id),
            prompt_tokens=prompt_tokens,
            answer_tokens=answer_tokens,
            forwarded=_forwarded_headers(headers),
            wants_close=b"close" in _connection_options(headers),
            shared_parts=_parse_shared_parts(_values(headers, PROMPT_PARTS)),
            length_hint=int(
                _parse_number(_first_value(headers, LENGTH_HINT)) or 0
            ),
        )

    def target_headers(
        self, head: protocol.CallerHead, dispatch: protocol.Dispatch
    ) -> list[protocol.Header]:
        target = dispatch.target
        headers = [*head.forwarded, (EXPECTED_TARGET, target.id.encode())]
        headers.append(
            (DEADLINE_REMAINING, str(dispatch.remaining_ms).encode())
        )
        if dispatch.organisation is not None:
            headers.append((ORGANISATION, dispatch.organisation.encode()))
        if dispatch.rank is not None:
            headers.append((RANK, str(dispatch.rank).encode()))
        if dispatch.resume_after is not None:
            last_event_id = str(dispatch.resume_after).encode()
            headers.append((LAST_EVENT_ID, last_event_id))
        if dispatch.copy_to is not None:
            copy = dispatch.copy_to
            headers.append((COPY_TO, f"{copy.host}:{copy.port}".encode()))
        if dispatch.from_copy:
            source = dispatch.copy_source or target
            handle = dispatch.copy_handle or head.attempt_id
            name = f"{source.host}:{source.port}/{handle}"
            headers.append((FROM_COPY, name.encode()))
        return headers

    def read_answer(
        self, status: int, headers: Sequence[protocol.Header]
    ) -> protocol.AnswerHead:
        is_misdirected = status == MISDIRECTED_STATUS
        pause_s, rejected = None, None
        if status == UNAVAILABLE_STATUS:
            pause_s, rejected = _parse_pause(_values(headers, RETRY_AFTER))
        return protocol.AnswerHead(
            attempt_id=_answered_attempt(headers),
            not_run=is_misdirected
            or _first_value(headers, NOT_RUN) is not None,
            wrong_target=is_misdirected,
            close=b"close" in _connection_options(headers),
            idle_timeout_s=_parse_idle_timeout(
                _first_value(headers, b"keep-alive")
            ),
            forwarded=_forwarded_headers(headers),
            body_bytes=_parse_length(_first_value(headers, CONTENT_LENGTH)),
            leaving="1" in _values(headers, LEAVING),
            pause_s=pause_s,
            rejected=rejected,
            promises_not_run=status in PROMISING_STATUSES,
        )

    def refusal_headers(
        self, attempt_id: str | None, retry_after_s: float | None
    ) -> list[protocol.Header]:
        headers = []
        if attempt_id is not None:
            headers.append((ATTEMPT_ID, attempt_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
        return headers


def _values(headers: Sequence[protocol.Header], name: bytes) -> list[str]:
    return [
        value.decode("latin-1").strip()
        for key, value in headers
        if key.lower() == name
    ]


def _first_value(
    headers: Sequence[protocol.Header], name: bytes
) -> str | None:
    values = _values(headers, name)
    return values[0] if values else None


def _answered_attempt(headers: Sequence[protocol.Header]) -> str | None:
    """Return the attempt id of an answer; of several, one that fits none.

    A head with different ids consists of parts of two answers.
    """
    names = dict.fromkeys(_values(headers, ATTEMPT_ID))
    return ", ".join(names) if names else None


def _connection_options(headers: Sequence[protocol.Header]) -> set[bytes]:
    return {
        option.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for option in value.split(b",")
    }


def _forwarded_headers(
    headers: Sequence[protocol.Header],
) -> tuple[protocol.Header, ...]:
    dropped = (
        (_connection_options(headers) - END_TO_END)
        | HOP_BY_HOP
        | INSTANCE_ONLY
    )
    return tuple(
        (key, value) for key, value in headers if key.lower() not in dropped
    )


def _parse_number(text: str | None) -> float | None:
    """Return a finite number that is not negative, or ``None``."""
    try:
        number = max(0.0, float(text or ""))
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _parse_length(text: str | None) -> int | None:
    """Return the length of a body, or ``None``."""
    if text is None or not LENGTH.fullmatch(text):
        return None
    return int(text)


def _parse_pause(values: Sequence[str]) -> tuple[float | None, str | None]:
    """Return the longest valid pause in seconds, and the invalid values."""
    parsed = [(value, _parse_number(value)) for value in values]
    rejected = [value for value, seconds in parsed if not seconds]
    pauses = [
        seconds
        for value, seconds in parsed
        if seconds is not None and value not in rejected
    ]
    return max(pauses, default=None), ", ".join(rejected) if rejected else None


def _parse_token_counts(text: str | None) -> tuple[int, int]:
    prompt, _, answer = (text or "").partition(",")
    return int(_parse_number(prompt) or 0), int(_parse_number(answer) or 0)


def _parse_shared_parts(
    values: Sequence[str],
) -> tuple[ids.PromptPartId, ...]:
    """Return the ids of all parts but the last, which no other prompt has."""
    parts = [
        item.partition(":")[0].strip().lower()
        for value in values
        for item in value.split(",")
    ]
    return tuple(ids.PromptPartId(part) for part in parts[:-1] if part)


def _parse_idle_timeout(text: str | None) -> float | None:
    for part in (text or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            return _parse_number(value)
    return None
