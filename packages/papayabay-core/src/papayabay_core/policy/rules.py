"""The policy in the form that daemons look calls up in."""

import re
from dataclasses import dataclass

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
    """A call path ready for matching; more literal text goes first."""

    methods: frozenset[str]
    pattern: re.Pattern
    literal_length: int
    rule: CallRule


class Policy:
    """A numbered policy version, compiled for look-up.

    Parameters
    ----------
    document : PolicyDocument
    version : int
        Configuration version; 0 before any patch.
    known : Policy or None
        An earlier one; what is compiled there of the same declarations is
        taken over.
    """

    def __init__(self, document=None, version=0, known=None):
        self.document = document or PolicyDocument()
        self.version = version
        before = known.document.services if known else {}
        self.calls = {
            name: (
                known.calls[name]
                if declaration is before.get(name)
                else compile_calls(name, declaration)
            )
            for name, declaration in self.document.services.items()
        }
        self.routes = RouteTable(self.document.routes)
        self.accounts = AccountTable(self.document.accounts)

    @property
    def decisions(self) -> Decisions:
        """How each decision is taken."""
        return self.document.decisions

    @property
    def authentication(self) -> Authentication:
        """How keys of client accounts are checked."""
        return self.document.authentication

    def has_service(self, service):
        """Return whether the policy names the service."""
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
        """Return what is declared of a service; defaults for a strange one."""
        return self.document.services.get(service) or ServiceDeclaration()

    def rule_for(self, service, method, path):
        """Return the rule of a call.

        Parameters
        ----------
        service, method : str
        path : str
            With or without query.

        Returns
        -------
        CallRule
            The most literal match, else the service's default rule.
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
        """Return the rule of calls that no declaration matches."""
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
    """Return a service's call paths, the most literal first."""
    compiled = (
        compile_call(service, name, call, declaration)
        for name, call in declaration.calls.items()
    )
    return sorted(compiled, key=lambda call: -call.literal_length)


def compile_call(service, name, call, declaration):
    """Return one call path ready for matching."""
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

    ``{name}`` stands for one path segment, a trailing ``*`` for any rest.
    """
    pieces = re.split(r"(\{[^/{}]*\}|\*$)", template)
    literal = [piece for piece in pieces if not is_placeholder(piece)]
    pattern = "".join(
        placeholder_pattern(piece) if is_placeholder(piece) else re.escape(piece)
        for piece in pieces
    )
    return re.compile(pattern), len("".join(literal))


def is_placeholder(piece):
    """Return whether a piece of a template stands for varying text."""
    return piece == "*" or piece.startswith("{")


def placeholder_pattern(piece):
    """Return the regular expression of a placeholder."""
    return ".*" if piece == "*" else "[^/]+"
