"""The overload policy that operators declare per service and call path."""

from papayabay_core.policy.document import PolicyDocument, parse_policy
from papayabay_core.policy.rule import CallRule
from papayabay_core.policy.rules import Policy

__all__ = ["CallRule", "Policy", "PolicyDocument", "parse_policy"]
