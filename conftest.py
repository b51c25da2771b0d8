"""Makes every run of the tests draw the same examples.

Hypothesis adds constants that it finds in the project's loaded modules to what it draws. Which are
loaded depends on the other tests of the same worker, so without this a check could pass in one run
and fail in the next.
"""

from hypothesis.internal.conjecture import providers
from hypothesis.internal.constants_ast import Constants

_NONE = Constants()


def _no_local_constants() -> Constants:
    return _NONE


# A private name of the pinned version, which has no setting for it.
assert callable(providers._get_local_constants)
providers._get_local_constants = _no_local_constants
