"""Builds the daemon from its components and supervises them."""

import random
from functools import partial

from papayabay_daemon._internal.accounts import (
    Authenticator,
    DemandReports,
    EqualShareLimiter,
    LimitOwner,
    OwnerLimiter,
    OwnerRing,
    RateLimits,
)
from papayabay_daemon._internal.admission import AdmissionInputs, make_admission
from papayabay_daemon._internal.calls.chains import ChainModel
from papayabay_daemon._internal.calls.components import CallComponents, CallCounters
from papayabay_daemon._internal.calls.dispatch import Dispatcher
from papayabay_daemon._internal.calls.flow import CallFlow
from papayabay_daemon._internal.calls.pause import PauseDetector
from papayabay_daemon._internal.calls.receive import Receiver
from papayabay_daemon._internal.calls.run_counts import RunCounts
from papayabay_daemon._internal.calls.snapshot import SnapshotExchange
from papayabay_daemon._internal.calls.tree import CallTree
from papayabay_daemon._internal.calls.work import WorkModel
from papayabay_daemon._internal.configuration import ConfigurationManager
from papayabay_daemon._internal.decision_log import DecisionLog
from papayabay_daemon._internal.doors import CallerDoor, StatusDoor
from papayabay_daemon._internal.idempotency import IdempotencyGate
from papayabay_daemon._internal.lifecycle import Lifecycle
from papayabay_daemon._internal.links import PeerLinks
from papayabay_daemon._internal.membership import Membership
from papayabay_daemon._internal.membership.deaths import DeathLog
from papayabay_daemon._internal.metrics.exposition import MetricsDoor
from papayabay_daemon._internal.metrics.latencies import Latencies
from papayabay_daemon._internal.metrics.objectives import ObjectiveCounters
from papayabay_daemon._internal.metrics.sender import MetricsSender, flatten
from papayabay_daemon._internal.quarantine import (
    QuarantineGate,
    QuarantinePropagation,
    QuarantineRegistry,
    QuarantineRows,
)
from papayabay_daemon._internal.retries import (
    ArrivalBudget,
    KeyAccounts,
    RetryRatio,
    RetryRules,
)
from papayabay_daemon._internal.routing import RoutingTable
from papayabay_daemon._internal.status.counters import counter_sources
from papayabay_daemon._internal.status.routes import StatusRoutes
from papayabay_daemon._internal.supervisor import Child, Supervisor
from papayabay_daemon._internal.target import (
    HttpTargetClient,
    TargetHealth,
    TargetRegistry,
    TargetVerifier,
)
from papayabay_daemon._internal.target.discovery import TargetDiscovery
from papayabay_daemon.environment import default_environment


class Daemon:
    """One daemon with all its components.

    Parameters
    ----------
    settings : DaemonSettings
    environment : Environment or None
        None for `default_environment`.
    writer : LineWriter or None
        Writes the lines of the decision log, if the settings enable it.
    settings_file : SettingsFile or None
        The file that the settings were loaded from. If given, the daemon
        reloads it when it changes.
    """

    def __init__(self, settings, environment=None, writer=None, settings_file=None):
        self.settings_file = settings_file
        self.writer = writer if settings.logs.decisions else None
        self.settings = settings
        self.environment = environment or default_environment(settings)
        self.random = random.Random()
        self.stopping = False
        self.leaving = False
        self.build_state()
        self.build_decisions()
        self.build_quarantine()
        self.build_accounts()
        self.build_calls()
        self.build_doors()
        self.build_supervision()
        self.lifecycle = Lifecycle(self)

    def build_state(self):
        """Build what tracks the platform, the peers and the configuration."""
        settings = self.settings
        environment = self.environment
        self.table = environment.table
        self.links = PeerLinks(settings, None)
        self.membership = Membership(settings, self.table, self.links, self.random)
        self.links.local = self.membership.local
        self.membership.on_change(DeathLog().note)
        self.configuration = ConfigurationManager(
            settings,
            environment.versions,
            self.membership,
            self.links,
            self.random,
            version_reader=environment.version_reader,
        )
        # Called several times for each call, so not a function in Python.
        self.policy = partial(getattr, self.configuration.version, "policy")

    def build_decisions(self):
        """Build what decides on calls: admission, routing, retries, target."""
        self.registry = TargetRegistry()
        self.target = HttpTargetClient(
            self.settings, self.registry, self.environment.target_dialect
        )
        inputs = self.admission_inputs()
        self.admission = make_admission(inputs.decisions.admission, inputs)
        self.router = RoutingTable(self.membership, self.policy, self.random)
        self.retry_rules = RetryRules(
            self.policy,
            RetryRatio(self.policy),
            self.random,
            self.router.has_other,
        )
        self.registry.listeners.append(self.target_changed)
        dialect = self.environment.target_dialect
        self.target_discovery = TargetDiscovery(
            self.settings, self.policy, self.registry, dialect, self.target_reported
        )
        self.target_verifier = TargetVerifier(
            self.registry, TargetHealth(self.policy), dialect
        )
        self.target.report_listeners.append(self.target_reported)
        self.configuration.on_change(self.policy_changed)
        self.links.on_leaving(self.membership.mark_leaving)
        self.membership.on_contact(self.links.dialler.end_backoff)
        self.links.on_unresponsive(self.router.set_link_unresponsive)

    def build_quarantine(self):
        """Build the decision log and the quarantine of crashing requests."""
        self.decision_log = DecisionLog(self.writer, lambda: self.policy().version)
        self.target.log = self.decision_log
        self.quarantine_registry = QuarantineRegistry()
        self.quarantine = QuarantineGate(
            self.settings,
            self.quarantine_registry,
            self.decision_log,
            lambda: self.policy().decisions.quarantine,
        )
        registry = self.quarantine_registry
        self.quarantine_propagation = QuarantinePropagation(
            registry,
            self.membership,
            self.links,
            QuarantineRows(registry, self.table, self.membership),
            self.configuration.readers,
            self.random,
        )
        detector = self.target.crash_detector
        detector.listeners.append(self.target_crashed)
        detector.answer_listeners.append(self.quarantine.record_answer)

    def build_accounts(self):
        """Build what authenticates and limits client accounts."""
        self.authenticator = Authenticator(
            self.policy, self.configuration.confirmer, self.random
        )
        self.owner_ring = ring = OwnerRing(self.membership)
        self.membership.on_change(ring.member_changed)
        self.limit_owner = LimitOwner(self.policy, ring, self.links)
        self.owner_limiter = OwnerLimiter(
            self.membership.local, ring, self.limit_owner, self.links, self.random
        )
        self.account_shares = self.owner_limiter.shares
        self.demand_reports = DemandReports(self.account_shares, self.owner_limiter)
        equal_share_limiter = EqualShareLimiter(self.membership)
        self.limits = RateLimits(
            self.policy,
            {"keepers": self.owner_limiter, "parts": equal_share_limiter},
        )
        for limiter in (self.limits, self.owner_limiter, equal_share_limiter):
            self.configuration.on_change(limiter.policy_changed)
        self.configuration.on_change(self.account_shares.policy_changed)
        self.links.confirmations = self.configuration.state
        self.table.era.listeners.append(self.configuration.state.store_restored)

    def build_calls(self):
        """Build the call flow."""
        self.call_components = CallComponents(
            settings=self.settings,
            local=self.membership.local,
            policy=self.policy,
            members=self.membership,
            links=self.links,
            router=self.router,
            admission=self.admission,
            target=self.target,
            registry=self.registry,
            quarantine=self.quarantine,
            accounts=self.authenticator,
            limits=self.limits,
            random=self.random,
            latencies=Latencies(),
            log=self.decision_log,
            counters=CallCounters(),
            demand_reports=self.demand_reports,
        )
        run_counts = RunCounts()
        self.call_tree = CallTree(run_counts)
        chains = ChainModel(self.router, run_counts)
        self.admission.set_downstream_source(chains.closed_paths)
        self.work = WorkModel(self.router, self.policy, run_counts)
        self.admission.set_work_source(self.work.work_ms)
        self.work_snapshots = SnapshotExchange(
            self.membership,
            self.links,
            self.policy,
            run_counts,
            self.router,
            self.random,
        )
        self.arrival_budget = ArrivalBudget(
            self.policy,
            self.membership.known_upstream_count,
            repeat_level=self.admission.repeat_level,
        )
        receiver = Receiver(
            self.call_components, self.call_tree, run_counts, self.arrival_budget
        )
        dispatcher = Dispatcher(self.call_components, receiver, self.retry_rules)
        self.idempotency_gate = IdempotencyGate(
            self.settings,
            self.membership.local,
            self.table,
            self.links,
            self.membership,
        )
        self.objectives = ObjectiveCounters()
        self.pause_detector = PauseDetector(ticker=self.links.heartbeats.ticker)
        self.flow = CallFlow(
            self.call_components,
            self.call_tree,
            dispatcher,
            self.idempotency_gate,
            KeyAccounts(),
            self.objectives,
            self.pause_detector,
        )
        self.idempotency_gate.set_forwarded_dispatch(self.flow.dispatch)
        self.idempotency_gate.set_claim_precheck(self.router.check)
        self.links.handle_calls(receiver.receive, self.flow.handle_forwarded)

    def build_doors(self):
        """Build the listeners, the metrics and the status routes."""
        settings = self.settings
        self.metrics = MetricsSender(settings.statsd, counter_sources(self))
        self.caller_door = CallerDoor(
            settings,
            self.flow,
            self.idempotency_gate.mint,
            self.environment.caller_dialect,
        )
        self.listeners = self.environment.listeners(self)
        if settings.metrics.host is not None:
            sources = self.call_components.latencies, self.metrics.totals, self.gauges
            self.listeners.append(MetricsDoor(settings, *sources))
        routes = StatusRoutes(self)
        self.status_door = StatusDoor(
            settings, routes.get_routes(), routes.post_routes()
        )

    def build_supervision(self):
        """Build the supervisor tree.

        Restarts are counted under the children's names in the metrics.
        """
        self.control_supervisor = Supervisor(
            "control",
            [
                Child("membership", self.membership.run),
                Child("configuration", self.configuration.run),
            ],
        )
        children = [
            Child("control", self.control_supervisor.run),
            Child("target lease", self.registry.watch),
            Child("target asking", self.target_discovery.run),
            Child("target verification", self.target_verifier.run),
            Child("metrics", self.metrics.run),
            Child("pause watch", self.pause_detector.run),
            Child("quarantine", self.quarantine_propagation.run),
            Child("keeper ring", self.owner_ring.run),
            Child("work snapshot", self.work_snapshots.run),
        ]
        if self.writer is not None:
            children.append(Child("log", self.writer.run))
        if self.settings_file is not None:
            self.settings_file.listeners.append(self.settings_changed)
            children.append(Child("settings file", self.settings_file.run))
        self.supervisor = Supervisor("daemon", children)

    def gauges(self):
        """Return the gauges of the metrics by dotted name."""
        gauges = {
            "configuration": self.configuration.gauges(),
            "repeats": self.arrival_budget.gauges(),
            "quarantine": self.quarantine.gauges(),
        }
        return flatten(gauges)

    def admission_inputs(self):
        """Return the current inputs of the admission's configuration."""
        policy = self.policy()
        target = self.registry.current
        if target is None:
            return AdmissionInputs(decisions=policy.decisions, random=self.random)
        return AdmissionInputs(
            settings=policy.admission(target.service),
            decisions=policy.decisions,
            slots=target.slots,
            cold_start_ms=target.cold_start_ms,
            announced_at=target.announced_at,
            awaits_report=(
                not target.cold_start_ms and self.registry.may_precede_daemon(target)
            ),
            corrects_slowdown=policy.routing(target.service).score == "completion",
            random=self.random,
        )

    def target_changed(self, target):
        """React to an announcement of the target, or None for its end."""
        self.admission.reconfigure(self.admission_inputs())
        if target is None:
            self.membership.withdraw()
        elif self.leaving or target.draining:
            self.admission.stop_admitting()
            self.membership.withdraw()
        else:
            self.admission.resume_admitting()
            self.membership.announce(target.service, target.slots)

    def target_reported(self, announcement, report, sent_at):
        """Apply what an answer states about the target in force.

        Parameters
        ----------
        announcement : Announcement
            Of the process that answered.
        report : TargetReport
        sent_at : float
            When the answered call was sent.
        """
        current = self.registry.announcement
        # Nearly always the same object, which saves the comparison.
        if current is not announcement and (
            current is None or current.process != announcement.process
        ):
            return
        self.admission.record_report(report, sent_at)
        if report.leaving:
            self.registry.mark_draining(current.incarnation, current.born_ms)

    def target_crashed(self, crash):
        """Record a crash of the target, and withdraw its announcement.

        An announcement by another process than the crashed one stays.
        """
        self.quarantine_propagation.set_service(crash.service)
        self.quarantine.target_crashed(crash)
        current = self.registry.current
        if current is not None and current.process == crash.process:
            self.registry.withdraw("its process has ended")

    def policy_changed(self, policy):
        """Reconfigure admission by a policy that has come into force."""
        self.admission.reconfigure(self.admission_inputs())

    def reload(self, reason):
        """Reload the settings file, if there is one."""
        if self.settings_file is not None:
            self.settings_file.reload(reason)

    def settings_changed(self, settings):
        """Apply reloaded settings, as far as a running daemon can.

        The time limits of the shutdown and the store's address take effect.
        Ports, names and all other settings need a restart.
        """
        self.settings = settings
        self.environment.apply_settings(settings)

    def is_ready(self):
        """Return whether callers should send requests to this daemon."""
        return not self.stopping and self.policy().version > 0

    async def run(self):
        """Run until SIGTERM, then drain; return the exit code."""
        return await self.lifecycle.run()

    async def start(self):
        """Open all ports; subclasses may extend this."""
        await self.lifecycle.start()

    async def close(self):
        """Close all components."""
        await self.lifecycle.close()
