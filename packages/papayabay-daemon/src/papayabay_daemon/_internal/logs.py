"""Configures logging: text or JSON lines, written without blocking."""

import json
import sys

import logbook

from papayabay_daemon._internal.log_lines import LineWriter

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel}: {record.message}"
)


def json_line(record, handler):
    """Return a log record as one line of JSON, for `LineHandler`."""
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name,
        "channel": record.channel,
        "message": record.message,
    }
    if record.exc_info:
        line["traceback"] = record.formatted_exception
    return json.dumps(line)


class LineHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Passes formatted records to a `LineWriter`.

    Parameters
    ----------
    writer : LineWriter
    level : str
        Lowest level that is written.
    """

    def __init__(self, writer, level):
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, None)
        self.writer = writer

    def emit(self, record):
        """Write one record."""
        self.writer.write(self.format(record))


def configure_logging(settings):
    """Send log records to the stream, and in the format, of the settings.

    Parameters
    ----------
    settings : LogSettings

    Returns
    -------
    LineWriter
        Also takes the lines of the decision log.
    """
    logbook.set_datetime_format("utc")
    stream = sys.stdout if settings.output == "stdout" else sys.stderr
    writer = LineWriter(stream.fileno())
    handler = LineHandler(writer, settings.level)
    if settings.format == "json":
        handler.formatter = json_line
    else:
        handler.format_string = TEXT_FORMAT
    handler.push_application()
    return writer
