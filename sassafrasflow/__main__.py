"""Run the command line as ``python -m sassafrasflow``."""

import signal
import sys


def _main() -> int:
    # The gateway must listen within 0.1 s of its start. The imports of the
    # other commands take half a second, so they are avoided here.
    if sys.argv[1:] == ["gateway"]:
        # SIGHUP requests a reload and would end a process that has no
        # handler yet, so it stays blocked until the gateway unblocks it.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        from sassafrasflow.entry import run_gateway

        return run_gateway()
    from sassafrasflow import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(_main())
