"""Turns the parse tree of a scenario into data."""

from lark import Transformer, v_args

from papayabay_bench.scenarios.errors import Position, ScenarioError
from papayabay_bench.scenarios.model import (
    Call,
    Expectation,
    Fault,
    Load,
    LoadPhase,
    Scenario,
    Service,
    Share,
    Step,
)


def position_of(token):
    """Return where a token, or the node's first token, stands."""
    return Position(token.line, token.column)


@v_args(inline=True)
class Values(Transformer):
    """Reads the literals; times are in seconds, shares are fractions."""

    def NUMBER(self, token):  # noqa: N802
        """Return a whole number as an int."""
        value = float(token)
        return int(value) if value.is_integer() else value

    def DURATION(self, token):  # noqa: N802
        """Return seconds."""
        if token.endswith("ms"):
            return float(token[:-2]) / 1_000
        return float(token[:-1])

    def RATE(self, token):  # noqa: N802
        """Return requests per second."""
        return float(token.partition("/")[0])

    def PERCENT(self, token):  # noqa: N802
        """Return a fraction."""
        return float(token[:-1]) / 100

    def STRING(self, token):  # noqa: N802
        """Return the text between the quotes."""
        return token.update(value=token[1:-1])


PLAIN = {"true": True, "false": False}


def plain_value(word):
    """Return a word of a setting as true, false, a number or itself."""
    if word in PLAIN:
        return PLAIN[word]
    for kind in (int, float):
        try:
            return kind(word)
        except ValueError:
            continue
    return str(word)


def milliseconds(seconds):
    """Return whole milliseconds, at least one."""
    return max(1, round(seconds * 1_000))


class Reader:
    """Builds a scenario from its lines.

    Parameters
    ----------
    text : str
        For the expectations' own words.
    """

    def __init__(self, text):
        self.lines = text.splitlines()
        self.scenario = Scenario()

    def read(self, tree):
        """Return the scenario of a parse tree."""
        for node in Values().transform(tree).children:
            getattr(self, f"read_{node.data}")(node)
        return self.scenario

    def read_scenario(self, node):
        """Take the name."""
        self.scenario.name = str(node.children[0])

    def read_scale(self, node):
        """Take the description of the scale."""
        self.scenario.scale = str(node.children[0])

    def read_domains(self, node):
        """Take the number of failure domains."""
        self.scenario.domains = node.children[0]

    def read_entries(self, node):
        """Take the number of daemons without a target."""
        self.scenario.entries = node.children[0]

    def read_policy(self, node):
        """Take the override of a decision."""
        name, word = node.children
        self.scenario.decisions[str(name)] = plain_value(word)

    def read_overload(self, node):
        """Take the stretch that counts as overload."""
        self.scenario.overload = tuple(node.children)

    def read_service(self, node):
        """Take a service."""
        read_block(node, Service, SERVICE_LINES, self.scenario.services)

    def read_load(self, node):
        """Take a load."""
        read_block(node, Load, LOAD_LINES, self.scenario.loads)

    def read_fault(self, node):
        """Take a fault."""
        at, seconds, action = node.children
        subject, value = FAULTS[action.data](*action.children)
        position = Position(node.meta.line, node.meta.column)
        kind = str(action.data)
        fault = Fault(kind, str(subject), value, at, seconds, position)
        self.scenario.faults.append(fault)

    def read_expect(self, node):
        """Take an expectation."""
        *words, comparison, (value, of_bound) = (
            child.children if hasattr(child, "data") else child
            for child in node.children
        )
        line = node.meta.line
        expectation = Expectation(
            words=tuple(map(str, words)),
            comparison=str(comparison),
            value=value,
            of_bound=of_bound is not None,
            text=self.lines[line - 1].partition("#")[0].strip(),
            position=Position(line, node.meta.column),
        )
        self.scenario.expectations.append(expectation)


def refuse_twice(known, name, what):
    """Raise if a name was given before."""
    if name in known:
        raise ScenarioError(f"There are two {what}s named {name}.", position_of(name))


def read_block(node, make, setters, known):
    """Add the named thing of a block, with what its lines say of it."""
    name, *lines = node.children
    refuse_twice(known, name, str(node.data))
    thing = make(str(name), position_of(name))
    for line in lines:
        setters[line.data](thing, *line.children)
    known[thing.name] = thing


def set_cold(service, seconds, factor):
    """Take a service's cold start."""
    service.cold_start_ms = milliseconds(seconds)
    service.cold_factor = factor


def add_call(service, name, method, path, importance, *parts):
    """Take a call of a service."""
    refuse_twice(service.calls, name, "call")
    call = Call(str(name), str(method), str(path), str(importance), position_of(name))
    for part in parts:
        CALL_PARTS[part.data](call, *part.children)
    service.calls[call.name] = call


def set_work(call, seconds, spread):
    """Take the time of a call's own work."""
    call.work_ms = seconds * 1_000
    if spread is None:
        return
    if spread.data == "lognormal":
        call.distribution, call.sigma = "lognormal", spread.children[0]
    else:
        call.distribution = str(spread.children[0])


def set_steps(call, together, *steps):
    """Take the calls that a call makes."""
    call.together = together is not None
    call.steps = [read_step(*step.children) for step in steps]


def read_step(callname, retries):
    """Return one call that a call makes."""
    service, call = callname.children
    number = retries.children[0] if retries else 0
    return Step(str(service), str(call), number, position_of(service))


def read_share(percent, callname):
    """Return one share of a mix."""
    service, call = callname.children
    return Share(percent, str(service), str(call), position_of(service))


def set_retry(load, number, pause):
    """Take how clients repeat."""
    load.retries = number
    load.pause_ms = 0 if pause is None else milliseconds(pause)


def setter(name, convert=lambda value: value):
    """Return a function that sets one attribute."""
    return lambda subject, value: setattr(subject, name, convert(value))


def flag(name, value):
    """Return a function that sets one attribute to a fixed value."""
    return lambda subject: setattr(subject, name, value)


CALL_PARTS = {
    "once": lambda call, key: setattr(call, "once", str(key or "either")),
    "effect": flag("effect", True),
    "work": set_work,
    "answers": setter("answer_bytes"),
    "deadline": setter("deadline_ms", milliseconds),
    "credits": setter("credits"),
    "then": set_steps,
}
SERVICE_LINES = {
    "upstreams": setter("upstreams"),
    "slots": setter("slots"),
    "connections": setter("connections"),
    "announces": setter("announced_slots"),
    "releases": flag("holds_slot", False),
    "cold": set_cold,
    "deadline": setter("deadline_ms", milliseconds),
    "credits": setter("credits"),
    "setting": lambda service, group, key, word: service.settings.append(
        (str(group), str(key), plain_value(word))
    ),
    "call": add_call,
}
LOAD_LINES = {
    "mix": lambda load, *shares: load.mix.extend(
        read_share(*share.children) for share in shares
    ),
    "steady": lambda load, rate, seconds: load.phases.append(
        LoadPhase(rate, rate, seconds)
    ),
    "ramp": lambda load, begins, ends, seconds: load.phases.append(
        LoadPhase(begins, ends, seconds)
    ),
    "wait": setter("wait_ms", milliseconds),
    "retry": set_retry,
    "honour": flag("honours_retry_after", True),
    "paced": flag("paced", True),
}
FAULTS = {
    "slow": lambda service, factor: (service, factor),
    "surge": lambda factor, load: (load or "", factor),
    "kill": lambda kind, name: (name, str(kind)),
    "freeze": lambda name: (name, "target"),
    "pause": lambda name: (name, "daemon"),
    "drain": lambda kind, name: (name, str(kind)),
    "lose": lambda number: (f"domain-{number}", "domain"),
    "lie": lambda service, load: (service, load),
    "shed": lambda service, above: (service, above),
    "store": lambda how: ("store", str(how)),
    "store_slow": lambda seconds: ("store", milliseconds(seconds)),
    "store_loses": lambda share: ("store", share),
    "store_stale": lambda seconds: ("store", milliseconds(seconds)),
}
