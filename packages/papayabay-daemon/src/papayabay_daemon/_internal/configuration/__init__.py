"""The configuration in force and its spread between daemons."""

from papayabay_daemon._internal.configuration.manager import ConfigurationManager

__all__ = ["ConfigurationManager"]
