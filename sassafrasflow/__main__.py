"""Run the command line as ``python -m sassafrasflow``."""

import signal
import sys


def _main() -> int:
    # The gateway must listen within 0.1 s of its start; the other commands
    # import half a second of libraries.
    if sys.argv[1:] == ["gateway"]:
        # A request to reload would end a process that can't take it yet; it
        # waits until the gateway asks for it.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        from sassafrasflow.entry import run_gateway

        return run_gateway()
    from sassafrasflow import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(_main())
