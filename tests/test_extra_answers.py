"""Instances as processes, with targets that answer twice or break off."""

import pytest

from tests import extra_answers

SECONDS = 3.0


@pytest.mark.processes
class TestExtraAnswers:
    """Guard against requests that get the bytes of another answer."""

    # Issue 47: a success where the target had answered a failure.
    @pytest.mark.parametrize("form", extra_answers.FORMS)
    async def test_callers_get_the_answer_to_their_request(
        self, tmp_path, form
    ):
        play = await extra_answers.play(form, 1, SECONDS, tmp_path)
        assert not play.broken
        assert play.extras
        assert play.answers["200"] > play.answers.total() / 3
