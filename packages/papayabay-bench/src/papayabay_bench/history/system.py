"""Defines the fleet and the policy that histories are recorded with."""

from papayabay_bench.fleet.plan import FleetPlan, ServicePlan
from papayabay_bench.targets.specification import CallPath, OutgoingCall, ServiceTime

FRONT = "orders-svc"
"""Service that clients call."""
BACK = "stock-svc"
"""Service that the front service calls."""
CONFIRM_PATH = "/orders"
RESERVE_PATH = "/reserve"
BROWSE_PATH = "/browse"
DOCUMENT_PATH = "/documents"
DOCUMENT_BYTES = 150_000
DEADLINE_MS = 1_000
RETRY_CREDITS = 3
SLOTS = 4
UPSTREAMS = 3
WORK = ServiceTime(distribution="exponential", mean_ms=4)
SILENCED_DAEMON = ["-m", "papayabay_bench.history.silenced"]
TIMING = {
    "link_heartbeat_ms": 100,
    "link_silence_ms": 500,
    "gossip_period_ms": 200,
    "suspicion_ms": 1_000,
    "config_poll_ms": 200,
}
"""Short periods, so that a run of a few seconds includes the detection of
faults and the recovery from them."""


def fleet_plan(seed):
    """Return a plan of two services and one daemon without a target."""
    return FleetPlan(
        services=[front_service(), back_service()],
        entries=1,
        seed=seed,
        timing=TIMING,
        python_arguments=SILENCED_DAEMON,
    )


def front_service():
    """Return the plan of the service that clients call."""
    reserve = OutgoingCall(service=BACK, path=RESERVE_PATH, method="POST")
    browse = OutgoingCall(service=BACK, path=BROWSE_PATH)
    paths = [
        CallPath(prefix=CONFIRM_PATH, effect=True, work=WORK, calls=[reserve]),
        CallPath(prefix=DOCUMENT_PATH, work=WORK, answer_bytes=DOCUMENT_BYTES),
        CallPath(prefix=BROWSE_PATH, work=WORK, calls=[browse]),
    ]
    return ServicePlan(name=FRONT, paths=paths, upstreams=UPSTREAMS, slots=SLOTS)


def back_service():
    """Return the plan of the service that the front service calls."""
    paths = [
        CallPath(prefix=RESERVE_PATH, effect=True, work=WORK),
        CallPath(prefix=BROWSE_PATH, work=WORK),
    ]
    return ServicePlan(name=BACK, paths=paths, upstreams=UPSTREAMS, slots=SLOTS)


def policy():
    """Return the policy of both services, as values of a policy document."""
    return {
        "services": {
            FRONT: service_policy(CONFIRM_PATH),
            BACK: service_policy(RESERVE_PATH),
        }
    }


def service_policy(effect_path):
    """Return the policy of a service whose POST calls have an effect."""
    return {
        "deadline_ms": DEADLINE_MS,
        "retries": {"credits": RETRY_CREDITS, "ratio": 1.0},
        "calls": {
            "effect": {
                "methods": ["POST"],
                "path": f"{effect_path}*",
                "importance": "critical",
            },
            "browse": {"methods": ["GET"], "path": "/*", "importance": "sheddable"},
        },
    }
