"""The configuration in force and its propagation between daemons."""

from papayabay_daemon._internal.configuration.manager import ConfigurationManager

__all__ = ["ConfigurationManager"]
