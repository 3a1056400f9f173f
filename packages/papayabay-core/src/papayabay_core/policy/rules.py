"""The policy, compiled for looking up the rules of calls."""

import re
from dataclasses import dataclass
from operator import attrgetter

from papayabay_core.importance import Importance
from papayabay_core.policy.accounts import AccountTable
from papayabay_core.policy.document import (
    Admission,
    Authentication,
    Decisions,
    PolicyDocument,
    Retries,
    Routing,
    ServiceDeclaration,
)
from papayabay_core.policy.routes import RouteTable
from papayabay_core.policy.rule import CallRule

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
DEFAULT_CALL = "default"


@dataclass(frozen=True, slots=True)
class CompiledCall:
    """A call path with its compiled path template."""

    methods: frozenset[str]
    pattern: re.Pattern
    literal_length: int
    rule: CallRule


class Policy:
    """One version of the policy, compiled for look-up.

    Parameters
    ----------
    document : PolicyDocument
    version : int
        Configuration version; 0 before any patch.
    previous : Policy or None
        An earlier version; the compiled calls of services whose declaration
        has not changed are reused.
    """

    def __init__(self, document=None, version=0, previous=None):
        self.document = document or PolicyDocument()
        self.version = version
        before = previous.document.services if previous else {}
        self.calls = {
            name: (
                previous.calls[name]
                if declaration is before.get(name)
                else compile_calls(name, declaration)
            )
            for name, declaration in self.document.services.items()
        }
        self.routes = RouteTable(self.document.routes)
        self.accounts = AccountTable(self.document.accounts)

    # Read several times for each call, so without a function in Python.
    decisions: Decisions = property(
        attrgetter("document.decisions"), doc="The algorithms used for decisions."
    )

    @property
    def authentication(self) -> Authentication:
        """Settings of the authentication of client accounts."""
        return self.document.authentication

    def has_service(self, service):
        """Return whether the policy declares the service."""
        return service in self.calls

    def admission(self, service) -> Admission:
        """Return the admission settings of a service."""
        return self.declaration(service).admission

    def retries(self, service) -> Retries:
        """Return the retry settings of a service."""
        return self.declaration(service).retries

    def routing(self, service) -> Routing:
        """Return the routing settings of a service."""
        return self.declaration(service).routing

    def declaration(self, service) -> ServiceDeclaration:
        """Return the declaration of a service; defaults for an unknown one."""
        return self.document.services.get(service) or ServiceDeclaration()

    def rule_for(self, service, method, path):
        """Return the rule of a call.

        Parameters
        ----------
        service, method : str
        path : str
            Path of the call, with or without query.

        Returns
        -------
        CallRule
            Of the matching call path with the most literal characters, else
            the default rule of the service.
        """
        plain = path.partition("?")[0]
        matches = (
            call.rule
            for call in self.calls.get(service, ())
            if method in call.methods and call.pattern.fullmatch(plain)
        )
        found = next(matches, None)
        return found or self.default_rule(service, method)

    def default_rule(self, service, method):
        """Return the rule of calls that match no declared call path."""
        declaration = self.declaration(service)
        return CallRule(
            service=service,
            name=DEFAULT_CALL,
            importance=Importance.NORMAL,
            idempotent=method in IDEMPOTENT_METHODS,
            at_most_once="either",
            deadline_ms=declaration.deadline_ms,
            retry_credits=declaration.retries.credits,
        )


def compile_calls(service, declaration):
    """Return the call paths of a service, most literal characters first."""
    compiled = (
        compile_call(service, name, call, declaration)
        for name, call in declaration.calls.items()
    )
    return sorted(compiled, key=lambda call: -call.literal_length)


def compile_call(service, name, call, declaration):
    """Return the `CompiledCall` of one declaration."""
    idempotent = call.idempotent
    if idempotent is None:
        idempotent = IDEMPOTENT_METHODS.issuperset(call.methods)
    rule = CallRule(
        service=service,
        name=name,
        importance=Importance[call.importance.upper()],
        idempotent=idempotent,
        at_most_once=call.at_most_once,
        deadline_ms=call.deadline_ms or declaration.deadline_ms,
        retry_credits=(
            declaration.retries.credits
            if call.retry_credits is None
            else call.retry_credits
        ),
        objective=call.objective,
        public=call.public,
    )
    pattern, literal_length = compile_template(call.path)
    return CompiledCall(frozenset(call.methods), pattern, literal_length, rule)


def compile_template(template):
    """Return the pattern of a path template and its literal length.

    ``{name}`` matches one path segment, a trailing ``*`` any remaining text.
    """
    pieces = re.split(r"(\{[^/{}]*\}|\*$)", template)
    literal = [piece for piece in pieces if not is_placeholder(piece)]
    pattern = "".join(
        placeholder_pattern(piece) if is_placeholder(piece) else re.escape(piece)
        for piece in pieces
    )
    return re.compile(pattern), len("".join(literal))


def is_placeholder(piece):
    """Return whether a piece of a path template is a placeholder."""
    return piece == "*" or piece.startswith("{")


def placeholder_pattern(piece):
    """Return the regular expression of a placeholder."""
    return ".*" if piece == "*" else "[^/]+"
