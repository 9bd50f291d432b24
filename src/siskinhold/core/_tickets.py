"""The change tickets in force and the records of terms."""

EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS: dict = {}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
