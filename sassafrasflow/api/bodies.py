"""Bodies of completion requests, and the fields that are supported."""

import hashlib
from typing import Annotated
from typing import Any

import msgspec

from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import ids

__all__ = ["CompletionBody", "fingerprint_of", "parse_body"]

MAX_TOKENS = 1 << 20
MAX_TEMPERATURE = 2

# Unsupported fields that would change an answer, each with the neutral value
# that has no effect and is therefore accepted.
UNSUPPORTED_FIELDS: dict[str, Any] = {
    "n": 1,
    "best_of": 1,
    "echo": False,
    "logprobs": False,
    "suffix": "",
    "tools": [],
    "functions": [],
    "logit_bias": {},
    "presence_penalty": 0,
    "frequency_penalty": 0,
    "response_format": {"type": "text"},
}

TokenLimit = Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)]
Temperature = Annotated[float, msgspec.Meta(ge=0, le=MAX_TEMPERATURE)]
Probability = Annotated[float, msgspec.Meta(gt=0, le=1)]


class TextPart(msgspec.Struct, frozen=True, tag="text"):
    """Hold one part of a message; only text parts are supported."""

    text: str


class ChatMessage(msgspec.Struct, frozen=True):
    """Hold one message of a chat."""

    role: str
    content: str | list[TextPart]

    def text(self) -> str:
        """Return the content as a single string."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class CompletionBody(msgspec.Struct, frozen=True):
    """Hold the supported fields of a completion request."""

    model: ids.ModelName
    prompt: str | None = None
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: TokenLimit | None = None
    max_completion_tokens: TokenLimit | None = None
    temperature: Temperature | None = None
    top_p: Probability | None = None
    seed: int | None = None
    stop: str | list[str] | None = None
    stream: bool = False

    def sampling(self) -> engines.Sampling:
        """Return the sampling parameters for the engine."""
        stop = [self.stop] if isinstance(self.stop, str) else self.stop
        limit = self.max_completion_tokens or self.max_tokens
        return engines.Sampling(
            max_tokens=limit or engines.Sampling().max_tokens,
            temperature=self.temperature or 0.0,
            top_p=self.top_p or 1.0,
            seed=self.seed,
            stop=tuple(stop or ()),
        )

    def rendered_prompt(self) -> str:
        """Return the prompt, or the messages rendered as one prompt."""
        if not self.messages:
            return self.prompt or ""
        lines = [f"{item.role}: {item.text()}" for item in self.messages]
        return "\n".join([*lines, "assistant:"])


def parse_body(raw: bytes, *, chat: bool) -> CompletionBody:
    """Decode and check the body of a completion request.

    Raises
    ------
    Refusal : the body is malformed or uses an unsupported field
    """
    try:
        body = msgspec.json.decode(raw, type=CompletionBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise _malformed(f"The body is not a completion: {exc}.") from exc
    required_field = "messages" if chat else "prompt"
    if not (body.messages if chat else body.prompt is not None):
        raise _malformed(f"The body needs {required_field}.")
    _check_unsupported(raw)
    return body


def fingerprint_of(body: CompletionBody) -> str:
    """Return a hash of all fields that affect the answer."""
    content = msgspec.structs.replace(body, stream=False)
    return hashlib.sha256(msgspec.json.encode(content)).hexdigest()


def _check_unsupported(raw: bytes) -> None:
    fields = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    for name, neutral in UNSUPPORTED_FIELDS.items():
        if name not in fields:
            continue
        if msgspec.json.decode(fields[name]) not in (None, neutral):
            raise _malformed(f"The field {name} is not served.")


def _malformed(detail: str) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.MALFORMED_REQUEST,
        exceptions.Ran.NO,
        detail,
        status=400,
    )
