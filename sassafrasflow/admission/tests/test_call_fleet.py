"""Refused callers of short calls on many instances, in virtual time.

A has 83 instances and 118 calls of 22.5 ms a second, B has 85 and 111 of 45
ms; each has 6 targets of 6 slots. After a kill of all instances the callers
of 12 s return at once, which is 40 times what the targets can run at once.
"""

import pytest

from sassafrasflow.admission.tests import call_fleet as fleets
from sassafrasflow.admission.tests import virtual_loop

DEPLOYMENTS = {
    "A": {"instances": 83, "call_s": 0.0225, "goal_s": 0.237},
    "B": {"instances": 85, "call_s": 0.045, "goal_s": 0.312},
}
RATE = {"A": 118.0, "B": 111.0}
HERD_S = 12
# Callers that retry at once make so many attempts.
IMPATIENT_ATTEMPTS = 5


def play(name, *, impatient_share=0.0, seed=1, **changes) -> fleets.Fleet:
    """Play a herd amid the ordinary load."""

    async def simulation():
        fleet = fleets.Fleet(seed=seed, **DEPLOYMENTS[name], **changes)
        for _ in range(round(HERD_S * RATE[name])):
            caller = fleets.Caller()
            if fleet.rng.random() < impatient_share:
                caller = fleets.Caller(IMPATIENT_ATTEMPTS, False)
            fleet.start(caller)
        await fleet.arrivals(RATE[name], 3)
        await fleet.finish()
        return fleet

    return virtual_loop.run(simulation())


@pytest.mark.parametrize("name", DEPLOYMENTS)
class TestHerdAfterKill:
    """Guard against refused callers that come back together.

    Told the same 0.25 s, most of them were refused once more, and their
    attempts were used up.
    """

    def test_most_are_served_at_their_second_attempt(self, name):
        told = play(name)
        constant = play(name, constant_s=0.25)
        assert constant.served(is_patient=True) < 0.5
        assert told.served(is_patient=True) >= {"A": 0.9, "B": 0.7}[name]
        assert told.rejections < constant.rejections


@pytest.mark.parametrize("name", DEPLOYMENTS)
class TestImpatientCallers:
    """Guard against callers that gain by coming back too early.

    Half of the callers retry at once, up to four times.
    """

    def test_those_that_come_back_when_told_are_served(self, name):
        fleet = play(name, impatient_share=0.5)
        again = [
            each
            for each in fleet.outcomes
            if each.caller.is_patient and each.attempts == 2
        ]
        served = sum(each.took_s is not None for each in again)
        assert len(again) > 400
        assert served >= 0.9 * len(again)
        assert fleet.served(is_patient=False) < fleet.served(is_patient=True)
