"""Health requests to the target, which show what process answers there."""

import asyncio
from dataclasses import dataclass

from papayabay_core.http.requester import Requester

HEALTH_TIMEOUT_SECONDS = 1.0
"""Time-out of a health request."""
MAX_ANSWER_BYTES = 65_536
"""Longest answer that is accepted; only its status and headers are used."""
POLICY_POLL_SECONDS = 0.05
MAX_POLICY_POLLS = 100
"""Interval and number of checks for a policy that declares the service;
together 5 s, in which the target announces itself several times."""


@dataclass(frozen=True, slots=True)
class ProcessHealth:
    """What the process at the target's address states in a health answer.

    Attributes
    ----------
    incarnation : str
        Name that the process gives itself.
    is_accepting : bool or None
        False if it is leaving or not healthy; None if it did not check, as it
        had no room for the request.
    """

    incarnation: str
    is_accepting: bool | None


class TargetHealth:
    """Sends health requests to targets.

    Parameters
    ----------
    policy : callable
        Returns the policy in force.
    """

    def __init__(self, policy):
        self.policy = policy

    async def path(self, service):
        """Wait for a policy and return a service's health path, or None."""
        for _ in range(MAX_POLICY_POLLS):
            policy = self.policy()
            if policy.has_service(service):
                return policy.declaration(service).health_path
            await asyncio.sleep(POLICY_POLL_SECONDS)
        return None

    async def request(self, host, port, path):
        """Return the `Reply` to a health request.

        Raises
        ------
        OSError, TimeoutError, ValueError
        """
        requester = Requester(HEALTH_TIMEOUT_SECONDS, MAX_ANSWER_BYTES)
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_SECONDS):
                return await requester.send("GET", f"http://{host}:{port}{path}")
        finally:
            requester.close()
