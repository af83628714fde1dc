"""The embedding example prints the output that its page shows."""

import asyncio
import pathlib
import sys

EXAMPLE = (
    pathlib.Path(__file__).parent.parent
    / "examples"
    / "embedding"
    / "shared_state.py"
)


class TestSharedStateExample:
    async def test_last_node_receives_the_entry_of_the_first(self):
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(EXAMPLE), stdout=asyncio.subprocess.PIPE
        )
        async with asyncio.timeout(60):
            out, _ = await process.communicate()
        assert process.returncode == 0
        assert b"node-2 heard planner@v2 from node-0." in out
