"""Remove the interpreter's own packages from the binary's import path.

Libraries in the binary would import optional packages that they find there;
trio, for example, starts a process on import. The binary's bootstrap runs this
file with ``site_packages``, the folder of the binary's packages, in its
globals.
"""

import sys

binary_packages = str(globals()["site_packages"])
sys.path[:] = [
    path
    for path in sys.path
    if path == binary_packages
    or not path.endswith(("site-packages", "dist-packages"))
]
