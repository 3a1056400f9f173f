"""Exceptions whose messages are shown to operators unchanged."""


class PapayabayError(Exception):
    """Base class of errors whose messages are shown to operators."""


class SettingsError(PapayabayError):
    """A settings file is missing, unreadable or has an invalid value."""


class PolicyError(PapayabayError):
    """A policy document or patch is not valid."""


class PlatformError(PapayabayError):
    """A request to the platform's table service or object store failed.

    It was a read, or a write that was certainly not applied.
    """


class PlatformAmbiguous(PlatformError):
    """A write to the platform may or may not have been applied."""


class ConditionFailed(PlatformError):
    """A conditional write was refused: its row has another revision."""


class StaleVersion(PapayabayError):
    """A patch was written against a version that is no longer current."""


class ProtocolError(PapayabayError):
    """A peer violated the link protocol."""


class LinkLost(ProtocolError):
    """A link was closed before the answer to a control request came."""
