"""In-process stand-ins for a database, the store, the network and callers.

All of them share one `FakeWorld`, use the event loop's clock and draw every
random choice from the world's generator, so that the same seed repeats a run.
The adapters of one VM are `FakeCallers`, `FakeBackends`, `FakeStoreClient` and
`FakePeers`.
"""

from ._backends import FakeBackends
from ._callers import CallerConnectionClosed, FakeCaller, FakeCallers, Reply
from ._database import FakeDatabase
from ._log import Execution, Promotion
from ._network import FakeNetwork, FakePeers
from ._server import FakeServer
from ._sql import Parsed, parse
from ._store import FakeStore, FakeStoreClient
from ._world import FakeWorld

__all__ = [
    "CallerConnectionClosed",
    "Execution",
    "FakeBackends",
    "FakeCaller",
    "FakeCallers",
    "FakeDatabase",
    "FakeNetwork",
    "FakePeers",
    "FakeServer",
    "FakeStore",
    "FakeStoreClient",
    "FakeWorld",
    "Parsed",
    "Promotion",
    "Reply",
    "parse",
]
