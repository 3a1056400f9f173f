"""Due times of calls, from the time that runs of each path usually take."""

from dataclasses import dataclass, field

MAX_STEPS = 16
"""Calls of a run whose times are learned."""
MAX_PATHS = 256
"""Most paths that are tracked; further ones are ignored."""
MIN_RUNS = 8
"""Runs of a path before its figures are used."""
COUNT_WEIGHT = 0.1
LOW_QUANTILE = 0.2
QUANTILE_RATE = 0.25
"""Step of the quantile estimates, as a share of their value, each second.

In an overload the times contain queueing delays. If the estimates followed
them within seconds, calls would seem past due that can still be in time. At
this rate they rise by at most 5 % a second, and fall by 20 %.
"""
MIN_SECONDS = 0.001
LEARN_INTERVAL_S = 0.02
"""Least time between two runs of a path that are learned from.

Learning from a run of eight calls takes 8 µs, and the estimates move with
time, not with the number of runs.
"""


@dataclass(slots=True)
class RunSteps:
    """Calls that one run has made so far; calls made together are one step.

    Attributes
    ----------
    count : int
    times : list of float
        Start and end of each of the first `MAX_STEPS` steps; the end is 0.0
        while the step runs, and if its last call was cancelled.
    """

    count: int = 0
    times: list[float] = field(default_factory=list)


@dataclass(slots=True)
class PathRuns:
    """What is learned of the runs of one path.

    Attributes
    ----------
    runs : int
    calls : float
        Mean number of steps of a run.
    step_s, rest_s : list of float
        For each step, the low quantile of its time and of the time from its
        end to the end of the run, in seconds.
    updated_at : float
    """

    runs: int = 0
    calls: float = 0.0
    step_s: list[float] = field(default_factory=list)
    rest_s: list[float] = field(default_factory=list)
    updated_at: float = 0.0


class SlackModel:
    """Sets due times by equal slack for all calls that a run still makes.

    It learns from the runs at the target beside this daemon. A run that has
    failed ends early, so only successful runs count.
    """

    def __init__(self):
        self.paths = {}

    def begin_call(self, live, call, now):
        """Set the due time of an outgoing call, and the rest of its chain.

        Without figures one call is assumed to be still to come that takes no
        time, so that the call is due when its parent is.

        Parameters
        ----------
        live : LiveCall
            The run that makes the call.
        call : Call
        now : float
        """
        steps = live.steps
        if steps is None:
            steps = live.steps = RunSteps()
        if not live.child_tasks:
            steps.count += 1
            if steps.count <= MAX_STEPS:
                steps.times += (now, 0.0)
        parent = live.call
        due_at = parent.expires_at if parent.due_at is None else parent.due_at
        step_s = rest_s = 0.0
        calls_left = 1.0
        path = self.paths.get(parent.path_key)
        if path is not None and path.runs >= MIN_RUNS:
            index = steps.count - 1
            calls_left = max(1.0, path.calls - index)
            if index < len(path.step_s):
                step_s, rest_s = path.step_s[index], path.rest_s[index]
        slack_s = due_at - now - step_s - rest_s
        call.due_at = now + step_s + slack_s / calls_left
        useful_until = parent.expires_at - parent.rest_s - rest_s
        call.rest_s = max(0.0, call.expires_at - useful_until)

    def end_call(self, live, now):
        """Record the end of an outgoing call."""
        steps = live.steps
        if not live.child_tasks and steps.count <= MAX_STEPS:
            steps.times[-1] = now

    def end_run(self, live, now):
        """Learn from a run that has succeeded."""
        steps = live.steps
        if steps is None or live.downstream_failed:
            return
        path = self.paths.get(live.call.path_key)
        if path is None:
            if len(self.paths) >= MAX_PATHS:
                return
            path = self.paths[live.call.path_key] = PathRuns(calls=steps.count)
        learning = path.runs < MIN_RUNS
        if not learning and now - path.updated_at < LEARN_INTERVAL_S:
            return
        path.runs += 1
        path.calls += COUNT_WEIGHT * (steps.count - path.calls)
        rate = 1.0 if learning else QUANTILE_RATE * min(now - path.updated_at, 1.0)
        path.updated_at = now
        learn(path, steps.times, now, rate)


def learn(path, times, now, rate):
    """Update a path's estimates from the steps of a run that ended now."""
    for index in range(len(times) // 2):
        start, end = times[2 * index], times[2 * index + 1]
        if not end:
            return
        if index == len(path.step_s):
            path.step_s.append(max(end - start, MIN_SECONDS))
            path.rest_s.append(max(now - end, MIN_SECONDS))
        else:
            path.step_s[index] = moved(path.step_s[index], end - start, rate)
            path.rest_s[index] = moved(path.rest_s[index], now - end, rate)


def moved(low, seconds, rate):
    """Return a quantile estimate moved towards an observed time.

    Parameters
    ----------
    low, seconds : float
    rate : float
        Size of a full step, as a share of the estimate. At 1.0 the estimate
        falls to the observed time at once and does not rise.
    """
    if rate == 1.0:
        return max(min(low, seconds), MIN_SECONDS)
    if seconds >= low:
        return min(low * (1.0 + LOW_QUANTILE * rate), seconds)
    return max(low * (1.0 - (1.0 - LOW_QUANTILE) * rate), seconds, MIN_SECONDS)


def entry_due_at(rule, entered_at, expires_at):
    """Return when the answer to a request is needed.

    It is the earlier of its deadline and the latency objective of its path.
    """
    objective = rule.objective
    if objective is None or objective.latency_ms is None:
        return expires_at
    return min(expires_at, entered_at + objective.latency_ms / 1_000)
