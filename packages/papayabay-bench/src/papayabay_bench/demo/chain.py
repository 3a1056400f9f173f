"""The demonstration's services, policy and load, and their scale.

The sizes are those of the ballast yards, scaled down: 2 upstreams for
each service in place of 4, and about a tenth of their slots.
"""

from papayabay_bench.fleet.plan import FleetPlan, ServicePlan
from papayabay_bench.load.specification import CallMix, Patience
from papayabay_bench.targets.specification import CallPath, OutgoingCall, ServiceTime

SCALE = "2 upstreams a service in place of 4; 8, 8 and 3 slots for 35, 35 and 10"
RETRY_CREDITS = 3
SLOW_FACTOR = 3.0
NORMAL_SHARE = 0.5
SURGE_SHARE = 2.0
KEY = "minted"
SLOW_SERVICE = "dispatch-svc"

STOCK = OutgoingCall(service="stock-svc", path="/stock")
RESERVE = OutgoingCall(service="stock-svc", path="/reserve", method="POST")
SLOTS_FREE = OutgoingCall(service="dispatch-svc", path="/slots")
BOOK = OutgoingCall(service="dispatch-svc", path="/book", method="POST")


def work(mean_ms):
    """Return an exponential service time."""
    return ServiceTime(distribution="exponential", mean_ms=mean_ms)


def services():
    """Return the three services, the deepest last."""
    return [
        ServicePlan(
            name="orders-svc",
            slots=8,
            paths=[
                CallPath(prefix="/quarry", work=work(4), calls=[STOCK]),
                CallPath(prefix="/confirm", work=work(6), calls=[RESERVE], effect=True),
            ],
        ),
        ServicePlan(
            name="stock-svc",
            slots=8,
            paths=[
                CallPath(prefix="/stock", work=work(4), calls=[SLOTS_FREE]),
                CallPath(prefix="/reserve", work=work(6), calls=[BOOK]),
            ],
        ),
        ServicePlan(
            name="dispatch-svc",
            slots=3,
            cold_start_ms=1_000,
            paths=[
                CallPath(prefix="/slots", work=work(15)),
                CallPath(prefix="/book", work=work(20)),
            ],
        ),
    ]


def fleet_plan(seed):
    """Return the demonstration's fleet."""
    return FleetPlan(services=services(), seed=seed, targets_per_process=3)


def calls():
    """Return the demonstration's calls."""
    return [
        CallMix(
            name="browse",
            importance="sheddable",
            service="orders-svc",
            path="/quarry/{n}",
            weight=9.0,
        ),
        CallMix(
            name="confirm",
            importance="critical",
            service="orders-svc",
            path="/confirm/{n}",
            method="POST",
            weight=1.0,
            key=KEY,
            body_bytes=200,
        ),
    ]


def patience():
    """Return clients that retry hard: at once, four times."""
    return Patience(attempt_timeout_ms=1_000, retries=4, pause_ms=0)


def policy():
    """Return the policy that the demonstration commits."""
    confirm = {
        "methods": ["POST"],
        "path": "/confirm/{order}",
        "importance": "critical",
        "idempotent": False,
        "retry_credits": RETRY_CREDITS,
    }
    browse = {
        "methods": ["GET"],
        "path": "/quarry/{stone}",
        "importance": "sheddable",
        "retry_credits": RETRY_CREDITS,
    }
    orders = {"deadline_ms": 1_500, "calls": {"confirm": confirm, "browse": browse}}
    inner = {"deadline_ms": 1_500}
    return {
        "services": {"orders-svc": orders, "stock-svc": inner, "dispatch-svc": inner}
    }
