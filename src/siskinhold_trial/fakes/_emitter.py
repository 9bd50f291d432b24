"""Base class of the fake adapters."""

from siskinhold.adapters import Emit
from siskinhold.events import Event

from ._world import FakeWorld


class Emitter:
    """Emits events with the world's time from `start` to `stop`."""

    def __init__(self, *, world: FakeWorld) -> None:
        self.world = world
        self._emit: Emit = _ignore

    async def start(self, emit: Emit) -> None:
        """Start emitting events."""
        self._emit = emit

    async def stop(self) -> None:
        """Stop emitting events."""
        self._emit = _ignore

    def emit(self, event_type: type, /, **fields: object) -> None:
        """Emit an event with the current time."""
        self._emit(event_type(at=self.world.now(), **fields))


def _ignore(event: Event) -> None:
    """Discard an event emitted before `start` or after `stop`."""
