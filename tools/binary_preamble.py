"""Keep packages of the interpreter out of the binary.

A library that finds an optional package there would import it; trio, for
one, starts a process when it is imported. The binary's bootstrap runs this
file and gives it the folder of its own packages.
"""

import sys

own = str(globals()["site_packages"])
sys.path[:] = [
    path
    for path in sys.path
    if path == own or not path.endswith(("site-packages", "dist-packages"))
]
