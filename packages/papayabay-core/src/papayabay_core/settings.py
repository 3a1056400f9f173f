"""Settings of the programs, read from TOML files and validated."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta

from papayabay_core.exceptions import SettingsError
from papayabay_core.models import InvalidValues, Strict, explain_faults

Port = Annotated[int, Meta(ge=0, le=65_535)]
Milliseconds = Annotated[int, Meta(gt=0, le=3_600_000)]


def check_member_host(host):
    """Raise `ValueError` unless other VMs can reach this one at the host."""
    if not is_address(host):
        raise ValueError(f"{host!r} is not an IP address")
    address = ipaddress.ip_address(host)
    if address.is_unspecified or address.is_multicast:
        raise ValueError(f"{host!r} is not an address at which others reach this VM")
    return host


def check_loopback_host(host):
    """Raise `ValueError` unless the host is a loopback IP address.

    Clients of these listeners are not authenticated: they can announce targets
    and read all status. A network address would expose them to every VM.
    """
    if not is_address(host) or not ipaddress.ip_address(host).is_loopback:
        raise ValueError(f"{host!r} is not a loopback IP address such as 127.0.0.1")
    return host


def is_address(host):
    """Return whether a host is an IP address, not a name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


Secret = Annotated[str, Meta(min_length=8)]


class VmSettings(Strict, frozen=True, kw_only=True):
    """Identity and addresses of the daemon; port 0 selects a free port."""

    checks = {"host": check_member_host}

    name: Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}\Z")]
    failure_domain: Annotated[str, Meta(min_length=1, max_length=63)]
    region: Annotated[str, Meta(min_length=1, max_length=63)] = "default"
    host: str = "127.0.0.1"
    caller_port: Port = 0
    link_port: Port = 0
    gossip_port: Port = 0


class LoopbackSettings(Strict, frozen=True, kw_only=True):
    """Listeners that can be reached only from this VM."""

    checks = {"host": check_loopback_host}

    host: str = "127.0.0.1"
    target_port: Port = 0
    status_port: Port = 0


class ClusterSettings(Strict, frozen=True, kw_only=True):
    """The cluster that the daemon belongs to, and its shared secret."""

    name: Annotated[str, Meta(min_length=1, max_length=63)] = "papayabay"
    secret: Secret


class PlatformSettings(Strict, frozen=True, kw_only=True):
    """Addresses of the platform's table service and object store."""

    table_url: str
    object_url: str
    timeout_ms: Milliseconds = 1_000


class LogSettings(Strict, frozen=True, kw_only=True):
    """Format, level and output of the log.

    Attributes
    ----------
    decisions : bool
        Whether each decision on a request is logged.
    """

    format: Literal["human", "json"] = "human"
    level: Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"
    output: Literal["stderr", "stdout"] = "stderr"
    decisions: bool = False


class StatsdSettings(Strict, frozen=True, kw_only=True):
    """The statsd server that gets metrics; without a host, none are sent."""

    host: str | None = None
    port: Port = 8125
    prefix: str = "papayabay"
    period_ms: Milliseconds = 10_000


class MetricsSettings(Strict, frozen=True, kw_only=True):
    """The listener that serves metrics; without a host, there is none."""

    checks = {"host": check_member_host}

    host: str | None = None
    port: Port = 9_464
    path: Annotated[str, Meta(pattern=r"^/[\x21-\x7e]*\Z")] = "/metrics"


class LimitSettings(Strict, frozen=True, kw_only=True):
    """Limits on requests, connections and draining."""

    header_bytes: Annotated[int, Meta(ge=1_024, le=1_048_576)] = 16_384
    body_bytes: Annotated[int, Meta(ge=1_024)] = 64 * 1024 * 1024
    inline_body_bytes: Annotated[int, Meta(ge=1_024, le=1_048_576)] = 65_536
    connections: Annotated[int, Meta(ge=16, le=1_000_000)] = 16_384
    pipelined_requests: Annotated[int, Meta(ge=1, le=1_024)] = 32
    depth: Annotated[int, Meta(ge=1, le=255)] = 40
    drain_ms: Milliseconds = 60_000
    leaving_accept_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    leaving_grace_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 1_000


class CallSettings(Strict, frozen=True, kw_only=True):
    """How calls are identified when targets send no call token."""

    infer_parents: bool = False


class TimingSettings(Strict, frozen=True, kw_only=True):
    """Periods and timeouts of the protocols between daemons."""

    link_heartbeat_ms: Milliseconds = 500
    link_silence_ms: Milliseconds = 2_000
    link_doubt_ms: Milliseconds = 600
    gossip_period_ms: Milliseconds = 1_000
    suspicion_ms: Milliseconds = 4_000
    config_poll_ms: Milliseconds = 1_000
    config_readers_per_domain: Annotated[int, Meta(ge=1, le=16)] = 2


class TargetSettings(Strict, frozen=True, kw_only=True):
    """A target whose address is known before it announces itself."""

    checks = {"host": check_member_host}

    service: Annotated[str, Meta(min_length=1, max_length=63)]
    host: str
    port: Annotated[int, Meta(ge=1, le=65_535)]


class DaemonSettings(Strict, frozen=True, kw_only=True):
    """All settings of `papayabayd`."""

    vm: VmSettings
    cluster: ClusterSettings
    platform: PlatformSettings
    loopback: LoopbackSettings = LoopbackSettings()
    logs: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()
    metrics: MetricsSettings = MetricsSettings()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    calls: CallSettings = CallSettings()
    target: TargetSettings | None = None


class OperatorSettings(Strict, frozen=True, kw_only=True):
    """Settings of the command line interface."""

    platform: PlatformSettings
    status_urls: list[str] = []
    cluster_secret: Secret | None = None


def load_settings(path, model=DaemonSettings):
    """Return the settings of a TOML file.

    Parameters
    ----------
    path : str or Path
    model : type
        `DaemonSettings` or `OperatorSettings`.

    Raises
    ------
    SettingsError
        With one line per fault: file, key and what is expected.
    """
    try:
        values = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from None
    try:
        return model.model_validate(values)
    except InvalidValues as error:
        raise SettingsError(explain_faults(error, path)) from None
