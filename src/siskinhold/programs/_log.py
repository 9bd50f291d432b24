"""Logs of a program: one line of key=value pairs for each event."""

import logging
import traceback


class LineFormatter(logging.Formatter):
    """Formats a record as one line, that of an exception included.

    Libraries log exceptions with a traceback of many lines, for instance for
    each malformed HTTP request. Here one shows its type, text and place.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its end."""
        text = record.getMessage()
        if not text.startswith("event="):
            text = f"event=log logger={record.name} message={text!r}"
        line = f"level={record.levelname} {text}"
        if record.exc_info and record.exc_info[1] is not None:
            line += f" {_describe(record.exc_info[1])}"
        return line.replace("\n", "\\n")


def configure_log(level: str) -> None:
    """Write log lines of at least a level to standard error."""
    handler = logging.StreamHandler()
    handler.setFormatter(LineFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler])


def _describe(error: BaseException) -> str:
    text = f"error={f'{type(error).__name__}: {error}'[:300]!r}"
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return text
    return f"{text} place={frames[-1].name}:{frames[-1].lineno}"
