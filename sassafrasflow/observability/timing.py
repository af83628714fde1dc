"""Timer of the token latencies of one answer."""

from sassafrasflow.observability import metrics as metrics_module

__all__ = ["TokenTimer"]


class TokenTimer:
    """Record the latencies of one answer as its tokens are accepted.

    ``initial_tokens`` is the number of tokens that the answer already has.
    The first gap of an answer that was taken over from another instance
    then counts as a resume.
    """

    def __init__(
        self,
        metrics: metrics_module.Metrics,
        now: float,
        initial_tokens: int = 0,
    ) -> None:
        self._metrics = metrics
        self._last_at = now
        self._tokens = initial_tokens
        self._attempt = 0

    def record_progress(self, now: float, tokens: int, attempt: int) -> None:
        """Record that an attempt has extended the answer to some length."""
        added = tokens - self._tokens
        if added <= 0:
            return
        gap_s = now - self._last_at
        if not self._tokens:
            self._metrics.record(metrics_module.Latency.FIRST_TOKEN, gap_s)
        elif attempt != self._attempt:
            self._metrics.record(metrics_module.Latency.RESUME, gap_s)
        else:
            # The gap is divided evenly among tokens that arrive together.
            self._metrics.record(
                metrics_module.Latency.INTER_TOKEN, gap_s / added, added
            )
        self._last_at = now
        self._tokens = tokens
        self._attempt = attempt
