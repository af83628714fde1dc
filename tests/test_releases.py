"""Releases by three instances that run as separate processes."""

import asyncio
import time

import msgspec
import pytest

from sassafrasflow import leases
from sassafrasflow.fakes import processes

AUTH = {"authorization": f"Bearer {processes.CALLER_KEY}"}
OPERATOR = {"authorization": f"Bearer {processes.OPERATOR_KEY}"}
TIMEOUT_S = 90.0
POLL_S = 0.1
SETTINGS = {
    "leases": {
        "term_ms": 2_000,
        "renew_after_ms": 300,
        "safety_margin_ms": 300,
        "longest_order_ms": 1_200,
    },
    "releases": {
        "shares": [0.3, 0.6, 0.9],
        "load_ms": 1_000,
        "step_ms": 200,
        "watch_ms": 1_000,
        "finish_ms": 8_000,
        "drain_ms": 500,
        "false_pass": 0.3,
        "report_interval_ms": 500,
    },
}


class Cluster:
    """Run three entry instances and three engines, with traffic."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.http = deployment.http
        self.entries = []
        self.engines = []
        self.traffic = []

    async def start(self, **behaviour):
        self.engines = [
            await self.deployment.engine(
                f"engine-{n}", token_interval_ms=1, **behaviour
            )
            for n in range(3)
        ]
        self.entries = [
            await self.deployment.entry(f"entry-{n}", **SETTINGS)
            for n in range(3)
        ]

    def start_traffic(self):
        """Send requests to every entry instance until ``close``."""
        self.traffic = [
            asyncio.create_task(self._send(entry, number))
            for entry in self.entries
            for number in range(3)
        ]

    async def close(self):
        for task in self.traffic:
            task.cancel()
        await asyncio.gather(*self.traffic, return_exceptions=True)

    async def _send(self, entry, number):
        for request in range(100_000):
            body = {
                "model": processes.MODEL,
                "prompt": f"Plan {entry.port}/{number}/{request}.",
                "max_tokens": 8,
            }
            await self.http.post(
                f"{entry.url}/v1/completions", json=body, headers=AUTH
            )

    async def submit(self, entry, seconds, *more):
        changes = [("add", "v2"), *more]
        body = {
            "title": "Move to v2",
            "deadline": time.time() + seconds,
            "changes": [
                {
                    "kind": kind,
                    "subject": "version",
                    "model": processes.MODEL,
                    "version": version,
                }
                for kind, version in changes
            ],
        }
        return await self.http.post(
            f"{entry.url}/operator/notes", json=body, headers=OPERATOR
        )

    async def show(self, entry, note_id):
        resp = await self.http.get(
            f"{entry.url}/operator/notes/{note_id}", headers=OPERATOR
        )
        return resp.json()

    async def until(self, condition, *args):
        """Poll a condition and return its first true result."""
        async with asyncio.timeout(TIMEOUT_S):
            while not (result := await condition(*args)):
                await asyncio.sleep(POLL_S)
        return result

    async def fetch_ended_note(self, entry, note_id):
        note = await self.show(entry, note_id)
        return note if note["state"] in ("done", "taken_back") else None

    async def is_ramping(self, entry, note_id):
        note = await self.show(entry, note_id)
        return note["phase"] == "ramping"

    async def all_engines_have(self, versions):
        """Return whether every engine has exactly these versions loaded."""
        for engine in self.engines:
            resp = await self.http.get(f"{engine.url}/v1/report")
            loaded = {item["version"] for item in resp.json()["loaded"]}
            if loaded != versions:
                return False
        return True

    async def find_lease_holder(self):
        """Return the entry instance that holds the lease."""
        url = f"{self.deployment.platform.url}/fake/rows"
        for row in (await self.http.get(url)).json()["rows"]:
            if row["key"] == "lease/releases":
                value = msgspec.json.decode(f'"{row["value"]}"', type=bytes)
                record = msgspec.json.decode(value, type=leases.LeaseRecord)
                if record.holder:
                    return self.deployment.processes[record.holder]
        return None


@pytest.fixture
async def cluster(deployment):
    running = Cluster(deployment)
    yield running
    await running.close()


class TestReleases:
    async def test_good_version_is_moved_to(self, cluster):
        await cluster.start()
        cluster.start_traffic()
        sent = await cluster.submit(cluster.entries[0], 30, ("withdraw", "v1"))
        assert sent.status_code == 201, sent.text
        note_id = sent.json()["id"]
        entry = cluster.entries[1]
        note = await cluster.until(cluster.fetch_ended_note, entry, note_id)
        assert note["state"] == "done", note
        assert await cluster.all_engines_have({"v2"})
        assert note["report"]["lines"]

    async def test_failing_version_is_taken_back(self, cluster):
        await cluster.start(failing_versions=["v2"])
        cluster.start_traffic()
        sent = await cluster.submit(cluster.entries[0], 80)
        note_id = sent.json()["id"]
        entry = cluster.entries[2]
        note = await cluster.until(cluster.fetch_ended_note, entry, note_id)
        assert note["state"] == "taken_back"
        assert "harmful" in note["reason"]
        await cluster.until(cluster.all_engines_have, {"v1"})

    async def test_one_of_two_racing_notes_wins(self, cluster):
        await cluster.start()
        answers = await asyncio.gather(
            *(cluster.submit(entry, 600) for entry in cluster.entries)
        )
        codes = sorted(resp.status_code for resp in answers)
        assert codes == [201, 422, 422]
        winner = next(r.json()["id"] for r in answers if r.status_code == 201)
        for resp in answers:
            if resp.status_code == 422:
                assert winner in str(resp.json()["faults"])


class TestPausedLeaseHolder:
    @pytest.mark.parametrize("obeys_fencing", [True, False])
    async def test_newer_state_stands(self, cluster, obeys_fencing):
        await cluster.start(obeys_fencing=obeys_fencing)
        sent = await cluster.submit(cluster.entries[0], 600)
        note_id = sent.json()["id"]
        await cluster.until(cluster.is_ramping, cluster.entries[0], note_id)
        paused = await cluster.until(cluster.find_lease_holder)
        paused.pause()
        entry = next(e for e in cluster.entries if e is not paused)
        resp = await cluster.http.post(
            f"{entry.url}/operator/notes/{note_id}/take-back",
            headers=OPERATOR,
        )
        assert resp.json()["state"] == "taken_back"
        # The paused holder cannot unload the candidate, so a new one did.
        await cluster.until(cluster.all_engines_have, {"v1"})
        paused.resume()
        note = await cluster.until(cluster.fetch_ended_note, paused, note_id)
        assert note["state"] == "taken_back"
        await cluster.until(cluster.all_engines_have, {"v1"})
        assert await cluster.find_lease_holder() is not paused


class TestOutage:
    async def test_note_is_shown_with_its_age(self, cluster):
        await cluster.start()
        sent = await cluster.submit(cluster.entries[0], 600)
        note_id = sent.json()["id"]
        for entry in cluster.entries:
            await cluster.until(cluster.is_ramping, entry, note_id)
        await cluster.deployment.configure_fake(
            cluster.deployment.platform, "faults", down=True
        )
        for entry in cluster.entries:
            note = await cluster.show(entry, note_id)
            assert (note["phase"], note["source"]) == ("ramping", "peers")
            text = await cluster.http.get(
                f"{entry.url}/operator/notes/{note_id}?format=text",
                headers=OPERATOR,
            )
            assert "The platform does not answer" in text.text
        fresh = await cluster.deployment.entry(
            "entry-3",
            **SETTINGS,
            peers={"seeds": [peer_address(cluster.entries[0])]},
        )

        async def ready():
            resp = await cluster.http.get(f"{fresh.url}/readyz")
            return resp.status_code == 200

        async def shown():
            resp = await cluster.http.get(
                f"{fresh.url}/operator/notes/{note_id}", headers=OPERATOR
            )
            # The note may arrive from peers after the configuration. Until
            # then a response must not claim that the note does not exist.
            assert resp.status_code in (200, 503)
            return resp.status_code == 200

        await cluster.until(ready)
        await cluster.until(shown)
        note = await cluster.show(fresh, note_id)
        assert note["phase"] == "ramping"


def peer_address(entry):
    """Return the address on which an entry listens for peers."""
    return f"127.0.0.1:{entry.announced['peer_port']}"
