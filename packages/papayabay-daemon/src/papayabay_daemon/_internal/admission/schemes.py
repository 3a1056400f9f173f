"""The admission schemes by the names that the policy gives them."""

from papayabay_daemon._internal.admission.codel import CoDel
from papayabay_daemon._internal.admission.dagor import Dagor
from papayabay_daemon._internal.admission.gradient import Gradient
from papayabay_daemon._internal.admission.open import Open
from papayabay_daemon._internal.admission.ranked import Ranked
from papayabay_daemon._internal.admission.ranked_by_slack import RankedBySlack
from papayabay_daemon._internal.admission.static import Static

SCHEMES = {
    "ranked": Ranked,
    "dagor": Dagor,
    "codel": CoDel,
    "gradient": Gradient,
    "static": Static,
    "open": Open,
}

ORDERED_SCHEMES = {("ranked", "due"): RankedBySlack}
"""Schemes that take the place of others with a `queue_order`."""


def make_scheme(name, control, queue_order):
    """Return a new scheme; raise `ValueError` if its name is unknown."""
    scheme = ORDERED_SCHEMES.get((name, queue_order)) or SCHEMES.get(name)
    if scheme is None:
        raise ValueError(f"unknown admission scheme: {name}")
    return scheme(control)
