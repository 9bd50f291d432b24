"""What the fakes of all adapters share."""

from siskinhold.adapters import Emit
from siskinhold.events import Event

from ._world import FakeWorld


class Emitter:
    """Emits events with the world's time from `start` to `stop`."""

    def __init__(self, *, world: FakeWorld) -> None:
        self.world = world
        self._emit: Emit = _ignore

    async def start(self, emit: Emit) -> None:
        """Begin to emit events."""
        self._emit = emit

    async def stop(self) -> None:
        """Emit nothing more."""
        self._emit = _ignore

    def emit(self, event_type: type, /, **fields: object) -> None:
        """Emit an event that happens now."""
        self._emit(event_type(at=self.world.now(), **fields))


def _ignore(event: Event) -> None:
    """Take an event that nobody wants."""
