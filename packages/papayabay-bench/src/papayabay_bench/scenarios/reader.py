"""Builds a scenario from its parse tree."""

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
    """Return the position of a token in the file."""
    return Position(token.line, token.column)


@v_args(inline=True)
class LiteralTransformer(Transformer):
    """Converts literals; times become seconds, and shares fractions."""

    def NUMBER(self, token):  # noqa: N802
        """Return an int for a whole number, else a float."""
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


BOOLEANS = {"true": True, "false": False}


def setting_value(word):
    """Return the value of a setting: a boolean, a number or a string."""
    if word in BOOLEANS:
        return BOOLEANS[word]
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
    """Builds a scenario from the statements of a parse tree.

    There is a `read_` method for each rule of the grammar's top level.

    Parameters
    ----------
    text : str
        The scenario's text; expectations keep their lines of it.
    """

    def __init__(self, text):
        self.lines = text.splitlines()
        self.scenario = Scenario()

    def read(self, tree):
        """Return the scenario of a parse tree."""
        for node in LiteralTransformer().transform(tree).children:
            getattr(self, f"read_{node.data}")(node)
        return self.scenario

    def read_scenario(self, node):
        """Set the name."""
        self.scenario.name = str(node.children[0])

    def read_scale(self, node):
        """Set the description of the scale."""
        self.scenario.scale = str(node.children[0])

    def read_domains(self, node):
        """Set the number of failure domains."""
        self.scenario.domains = node.children[0]

    def read_entries(self, node):
        """Set the number of daemons without a target."""
        self.scenario.entries = node.children[0]

    def read_policy(self, node):
        """Add the override of a policy decision."""
        name, word = node.children
        self.scenario.decisions[str(name)] = setting_value(word)

    def read_overload(self, node):
        """Set the time that counts as overload."""
        self.scenario.overload = tuple(node.children)

    def read_service(self, node):
        """Add a service."""
        add_block(node, Service, SERVICE_LINES, self.scenario.services)

    def read_load(self, node):
        """Add a load."""
        add_block(node, Load, LOAD_LINES, self.scenario.loads)

    def read_fault(self, node):
        """Add a fault."""
        start, duration, action = node.children
        subject, value = FAULT_ACTIONS[action.data](*action.children)
        position = Position(node.meta.line, node.meta.column)
        kind = str(action.data)
        fault = Fault(kind, str(subject), value, start, duration, position)
        self.scenario.faults.append(fault)

    def read_expect(self, node):
        """Add an expectation."""
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


def check_unique(defined, name, what):
    """Raise `ScenarioError` if a name is already defined."""
    if name in defined:
        raise ScenarioError(f"Duplicate {what} name {name}.", position_of(name))


def add_block(node, make, setters, defined):
    """Create the service or load of a block and add it to `defined`.

    Parameters
    ----------
    node : Tree
    make : type
        `Service` or `Load`.
    setters : dict of str to callable
        Functions that apply a line of the block, by grammar rule.
    defined : dict
        Services or loads by name.
    """
    name, *lines = node.children
    check_unique(defined, name, str(node.data))
    item = make(str(name), position_of(name))
    for line in lines:
        setters[line.data](item, *line.children)
    defined[item.name] = item


def set_cold_start(service, seconds, factor):
    """Set how long and by how much targets are slow after their start."""
    service.cold_start_ms = milliseconds(seconds)
    service.cold_factor = factor


def add_call(service, name, method, path, importance, *parts):
    """Add a call to a service."""
    check_unique(service.calls, name, "call")
    call = Call(str(name), str(method), str(path), str(importance), position_of(name))
    for part in parts:
        CALL_PARTS[part.data](call, *part.children)
    service.calls[call.name] = call


def set_work(call, seconds, spread):
    """Set the distribution of the slot time of a call's own work."""
    call.work_ms = seconds * 1_000
    if spread is None:
        return
    if spread.data == "lognormal":
        call.distribution, call.sigma = "lognormal", spread.children[0]
    else:
        call.distribution = str(spread.children[0])


def set_steps(call, together, *steps):
    """Set the outgoing calls of a call."""
    call.together = together is not None
    call.steps = [read_step(*step.children) for step in steps]


def read_step(callname, retries):
    """Return one outgoing call of a call."""
    service, call = callname.children
    number = retries.children[0] if retries else 0
    return Step(str(service), str(call), number, position_of(service))


def read_share(percent, callname):
    """Return one share of a load's mix."""
    service, call = callname.children
    return Share(percent, str(service), str(call), position_of(service))


def set_retry(load, number, pause):
    """Set how often clients retry, and the pause before a retry."""
    load.retries = number
    load.pause_ms = 0 if pause is None else milliseconds(pause)


def setter(name, convert=lambda value: value):
    """Return a function that sets an attribute to a converted value."""
    return lambda subject, value: setattr(subject, name, convert(value))


def flag(name, value):
    """Return a function that sets an attribute to a fixed value."""
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
"""Functions that apply a part of a call's line, by grammar rule."""
SERVICE_LINES = {
    "upstreams": setter("upstreams"),
    "slots": setter("slots"),
    "connections": setter("connections"),
    "announces": setter("announced_slots"),
    "releases": flag("holds_slot", False),
    "cold": set_cold_start,
    "deadline": setter("deadline_ms", milliseconds),
    "credits": setter("credits"),
    "setting": lambda service, group, key, word: service.settings.append(
        (str(group), str(key), setting_value(word))
    ),
    "call": add_call,
}
"""Functions that apply a line of a service's block, by grammar rule."""
LOAD_LINES = {
    "mix": lambda load, *shares: load.mix.extend(
        read_share(*share.children) for share in shares
    ),
    "steady": lambda load, rate, seconds: load.phases.append(
        LoadPhase(rate, rate, seconds)
    ),
    "ramp": lambda load, start_rate, end_rate, seconds: load.phases.append(
        LoadPhase(start_rate, end_rate, seconds)
    ),
    "wait": setter("wait_ms", milliseconds),
    "retry": set_retry,
    "honour": flag("honours_retry_after", True),
    "paced": flag("paced", True),
}
"""Functions that apply a line of a load's block, by grammar rule."""
FAULT_ACTIONS = {
    "slow": lambda service, factor: (service, factor),
    "surge": lambda factor, load: (load or "", factor),
    "kill": lambda kind, name: (name, str(kind)),
    "freeze": lambda name: (name, "target"),
    "pause": lambda name: (name, "daemon"),
    "drain": lambda kind, name: (name, str(kind)),
    "lose": lambda number: (f"domain-{number}", "domain"),
    "lie": lambda service, load: (service, load),
    "shed": lambda service, above: (service, above),
    "limit": lambda service, rate: (service, rate),
    "store": lambda mode: ("store", str(mode)),
    "store_slow": lambda seconds: ("store", milliseconds(seconds)),
    "store_loses": lambda share: ("store", share),
    "store_stale": lambda seconds: ("store", milliseconds(seconds)),
}
"""Functions that return the subject and the value of a fault, by action."""
