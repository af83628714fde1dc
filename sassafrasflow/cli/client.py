"""HTTP client for commands that send operators' requests to an instance."""

import os

import httpx
import msgspec

from sassafrasflow import exceptions

__all__ = ["KEY_VARIABLE", "send_request"]

KEY_VARIABLE = "SASSAFRASFLOW_KEY"
TIMEOUT_S = 10.0


def send_request(
    url: str, method: str, path: str, body: bytes | None = None
) -> str:
    """Send an operator's request and return the body of the answer.

    Raises
    ------
    UsageError : the key is missing or the URL is malformed
    InstanceUnreachable : the instance did not answer
    InstanceRefused : the instance refused the request
    """
    key = os.environ.get(KEY_VARIABLE, "")
    if not key:
        raise exceptions.UsageError(f"{KEY_VARIABLE}: set it to your key")
    try:
        resp = httpx.request(
            method,
            url.rstrip("/") + path,
            content=body,
            headers={"authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )
    except (httpx.InvalidURL, httpx.UnsupportedProtocol) as exc:
        raise exceptions.UsageError(f"--url {url}: {exc}") from exc
    except UnicodeEncodeError as exc:
        raise exceptions.UsageError(f"{KEY_VARIABLE}: is not ASCII") from exc
    except httpx.HTTPError as exc:
        raise exceptions.InstanceUnreachable(
            f"{url}: {exc or type(exc).__name__}"
        ) from exc
    if resp.status_code >= 400:
        raise exceptions.InstanceRefused(_describe_refusal(resp))
    return resp.text


class _Problem(msgspec.Struct, frozen=True):
    reason: str
    detail: str
    ran: str
    faults: list[str] = []


def _describe_refusal(resp: httpx.Response) -> str:
    try:
        problem = msgspec.json.decode(resp.content, type=_Problem)
    except msgspec.MsgspecError:
        return f"{resp.url}: status {resp.status_code}, not an instance"
    faults = "".join(f" {fault};" for fault in problem.faults).rstrip(";")
    return (
        f"refused: {problem.reason} (ran: {problem.ran}): "
        f"{problem.detail}{faults}"
    )
