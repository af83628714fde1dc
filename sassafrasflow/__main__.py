"""Run the command line as ``python -m sassafrasflow``."""

import sys


def _main() -> int:
    # The gateway must listen within 0.1 s of its start; the other commands
    # import half a second of libraries.
    if sys.argv[1:] == ["gateway"]:
        from sassafrasflow.entry import run_gateway

        return run_gateway()
    from sassafrasflow import cli

    return cli.main()


if __name__ == "__main__":
    sys.exit(_main())
