"""Logging of the programs: one line of key=value pairs per event."""

import logging
import traceback

from ..observability import format_event, quote, quote_start


class LineFormatter(logging.Formatter):
    """Formats a record as one line, also if it has an exception.

    Libraries log exceptions with a traceback of many lines, for example for each
    malformed HTTP request. This formatter writes the type, the text and the place of an
    exception only.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without a line break."""
        text = format_event(record)
        if text is None:
            message = quote(record.getMessage())
            text = f"event=log logger={quote(record.name)} message={message}"
        line = f"level={record.levelname} {text}"
        if record.exc_info and record.exc_info[1] is not None:
            line += f" {_describe(record.exc_info[1])}"
        return line


def configure_log(level: str) -> None:
    """Log to standard error, from the given level on."""
    handler = logging.StreamHandler()
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler])


def _describe(error: BaseException) -> str:
    """Return the type, the start of the text and the place of an exception."""
    text = f"error={quote_start(f'{type(error).__name__}: {error}', 300)}"
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return text
    place = quote(f"{frames[-1].name}:{frames[-1].lineno}")
    return f"{text} place={place}"
