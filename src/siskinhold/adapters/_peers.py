"""Messages between VMs over pynng: one pull socket, and one push socket per VM."""

import asyncio
import hashlib
import hmac
import logging
from collections import Counter
from dataclasses import dataclass, field

import msgspec
import pynng
from result import Err, Ok, Result

from ..events import PeerReceived
from ..messages import Envelope, Probe
from ._interfaces import Emit, Peers

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Maximum size of a received frame: leaves a margin for a ticket of 1 MB."""

MAX_BATCH_MESSAGES = 64
"""Messages for one VM after which a frame is sent within a turn of the event loop.

A pull socket delivers one frame per wake-up, so the number of frames costs more than
their size.
"""

MAX_BATCH_BYTES = 64 * 1024
"""Bytes of messages after which a frame is sent within a turn of the event loop."""

MAX_QUEUED_FRAMES = 64
"""Frames queued for one VM; further ones are dropped."""

STOP_LINGER_SECONDS = 0.05
"""Seconds that `stop` waits for the last frames to be sent."""

MAX_FRAMES_PER_TURN = 64
"""Frames read in one turn of the event loop; the rest waits for the next turn."""

RECONNECT_MIN_MS = 50
"""Milliseconds before the first attempt to reconnect."""

RECONNECT_MAX_MS = 1000
"""Maximum number of milliseconds between two attempts to connect."""

IDLE_TIMEOUT = 30.0
"""Seconds after which an unused connection is closed.

In a large fleet a VM exchanges messages with only a few others at a time.
"""

IDLE_CHECK_INTERVAL = 5.0
"""Seconds between two checks for unused connections."""

MIN_RECONNECT_AGE = 1.0
"""Minimum age in seconds of a connection that a probe causes to be replaced."""

DROP_LOG_INTERVAL = 1.0
"""Minimum number of seconds between two log lines about drops for one reason."""

FRAME_OVERHEAD_BYTES = 64
"""Bytes reserved in a frame for its tag and its header."""

TAG_BYTES = 16
"""Size of the authentication tag (keyed BLAKE2b) in front of a frame."""

_log = logging.getLogger(__name__)


class EnvelopeCodec:
    """Encodes envelopes and frames, with an authentication tag if there are keys.

    Tags are made with the first key and accepted for every key, so that a key can be
    replaced VM by VM. The tag rejects processes without a key. It neither encrypts a
    frame nor detects a replayed one.
    """

    def __init__(self, *, fleet_keys: tuple[bytes, ...] = ()) -> None:
        """Derive the tag keys; without a fleet key frames have no tag."""
        self._keys = tuple(hashlib.blake2b(key).digest() for key in fleet_keys)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[Envelope])

    def encode(self, envelope: Envelope) -> bytes:
        """Return an encoded envelope, to be joined into a frame."""
        return self._encoder.encode(envelope)

    def encode_frame(self, parts: list[bytes]) -> bytes:
        """Return a frame of envelopes that `encode` returned."""
        body = self._encoder.encode([msgspec.Raw(part) for part in parts])
        return _tag(self._keys[0], body) + body if self._keys else body

    def decode(self, data: bytes) -> Result[list[Envelope], str]:
        """Return a frame's envelopes, or the reason to drop it."""
        if len(data) > MAX_FRAME_BYTES:
            return Err("too_large")
        body = data
        if self._keys:
            body = data[TAG_BYTES:]
            if not self._has_valid_tag(data[:TAG_BYTES], body):
                return Err("bad_tag")
        try:
            return Ok(self._decoder.decode(body))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return Err("garbage")

    def _has_valid_tag(self, tag: bytes, body: bytes) -> bool:
        for key in self._keys:
            if hmac.compare_digest(tag, _tag(key, body)):
                return True
        return False


def _tag(key: bytes, body: bytes) -> bytes:
    """Return the authentication tag of a frame."""
    return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES).digest()


@dataclass(slots=True, kw_only=True)
class _Link:
    """Outgoing connection to a VM; the first message opens its socket."""

    url: str
    socket: pynng.Push0 | None = None
    opened_at: float = 0.0
    used_at: float = 0.0
    parts: list[bytes] = field(default_factory=list)
    size: int = 0


class NngPeers(Peers):
    """Sends messages between VMs over TCP.

    Sending does not wait: a message that does not fit into the send queue is dropped
    and counted. The connection to a VM that restarts at its address is established
    again.

    If another VM probes this VM, it receives no messages from it. The connection to
    that VM may be unresponsive (half-open), so it is replaced.
    """

    def __init__(
        self, *, vm: str, host: str, port: int, fleet_keys: tuple[bytes, ...] = ()
    ):
        """Prepare to listen.

        Args:
            vm: the name of this VM.
            host: IP address to listen on.
            port: TCP port to listen on.
            fleet_keys: shared secrets of the fleet; the first one is used to send.
        """
        self.counters: Counter[str] = Counter()
        self._vm = vm
        self._url = _build_url(host, port)
        self._codec = EnvelopeCodec(fleet_keys=fleet_keys)
        self._links: dict[str, _Link] = {}
        self._pull: pynng.Pull0 | None = None
        self._emit: Emit | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._logged_at: dict[str, float] = {}

    async def start(self, emit: Emit) -> None:
        """Start listening.

        Raises:
            OSError: if the address can't be bound.
        """
        self._loop = asyncio.get_running_loop()
        self._emit = emit
        pull = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        try:
            pull.listen(self._url)
        except pynng.NNGException as error:
            pull.close()
            raise OSError(f"cannot listen on {self._url}: {error}") from error
        self._pull = pull
        self._loop.add_reader(pull.recv_fd, self._read_frames)
        self._schedule_idle_check()

    def set_address(self, vm: str, host: str, port: int) -> None:
        """Set the address of a VM, replacing an earlier one.

        Messages queued for the earlier address are discarded.
        """
        url = _build_url(host, port)
        link = self._links.get(vm)
        if link is not None and link.url == url:
            return
        if link is not None:
            self._close_link(link)
        self._links[vm] = _Link(url=url)

    def send(self, vm: str, envelope: Envelope) -> None:
        """Queue a message for the next frame to a VM.

        It is dropped if the VM's address is not set or if it exceeds a frame.
        """
        link = self._links.get(vm)
        if link is None or self._loop is None:
            self._drop("unknown_vm", vm)
            return
        part = self._codec.encode(envelope)
        if len(part) > MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES:
            self._drop("too_large", vm)
            return
        if link.size + len(part) > MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES:
            self._flush(vm)
        if not link.parts:
            self._loop.call_soon(self._flush, vm)
        link.parts.append(part)
        link.size += len(part)
        if len(link.parts) >= MAX_BATCH_MESSAGES or link.size >= MAX_BATCH_BYTES:
            self._flush(vm)

    def _flush(self, vm: str) -> None:
        """Send the queued messages to a VM as one frame; drops them if it can't."""
        link = self._links.get(vm)
        if link is None or not link.parts:
            return
        count = len(link.parts)
        data = self._codec.encode_frame(link.parts)
        link.parts.clear()
        link.size = 0
        link.used_at = self._loop.time()
        if link.socket is None and not self._open_link(link, vm):
            return
        try:
            link.socket.send(data, block=False)
        except pynng.NNGException:
            self._drop("full", vm, count)
            return
        self.counters["sent"] += count
        self.counters["sent_bytes"] += len(data)

    async def stop(self) -> None:
        """Try to send what is queued, then close all connections."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        for vm in self._links:
            self._flush(vm)
        await asyncio.sleep(STOP_LINGER_SECONDS)
        for link in self._links.values():
            self._close_link(link)
        self._links.clear()
        if self._pull is not None:
            self._loop.remove_reader(self._pull.recv_fd)
            self._pull.close()
            self._pull = None

    def _open_link(self, link: _Link, vm: str) -> bool:
        """Open the socket to a VM; return whether that succeeded."""
        try:
            socket = pynng.Push0(
                send_buffer_size=MAX_QUEUED_FRAMES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            socket.dial(link.url, block=False)
        except pynng.NNGException:
            self._drop("cannot_dial", vm)
            return False
        link.socket = socket
        link.opened_at = self._loop.time()
        self.counters["dialled"] += 1
        return True

    def _close_link(self, link: _Link) -> None:
        if link.socket is not None:
            link.socket.close()
            link.socket = None

    def _read_frames(self) -> None:
        """Handle the received frames, up to the limit for one turn."""
        for _ in range(MAX_FRAMES_PER_TURN):
            if self._pull is None:
                return
            try:
                # Unlike `recv`, `recv_msg` also accepts an empty message.
                data = self._pull.recv_msg(block=False).bytes
            except pynng.NNGException:
                return
            self._handle_frame(data)

    def _handle_frame(self, data: bytes) -> None:
        """Emit the messages of a frame; drops a frame that can't be decoded.

        A probe of this VM also replaces the connection to its sender.
        """
        result = self._codec.decode(data)
        if result.is_err():
            self._drop(result.err(), "")
            return
        self.counters["received"] += len(result.ok())
        self.counters["received_bytes"] += len(data)
        for envelope in result.ok():
            message = envelope.message
            if isinstance(message, Probe) and message.suspect == self._vm:
                self._close_stale_link(envelope.sender)
            self._emit(PeerReceived(at=self._loop.time(), envelope=envelope))

    def _close_stale_link(self, vm: str) -> None:
        """Close the connection to a VM unless it was opened a short time ago.

        The next message opens another one.
        """
        link = self._links.get(vm)
        if link is None or link.socket is None:
            return
        if self._loop.time() - link.opened_at >= MIN_RECONNECT_AGE:
            self._close_link(link)

    def _drop(self, reason: str, vm: str, count: int = 1) -> None:
        """Count dropped messages, and log them at a limited rate."""
        self.counters[f"dropped_{reason}"] += count
        now = self._loop.time() if self._loop is not None else 0.0
        if now - self._logged_at.get(reason, -DROP_LOG_INTERVAL) < DROP_LOG_INTERVAL:
            return
        self._logged_at[reason] = now
        count = self.counters[f"dropped_{reason}"]
        _log.warning(
            "event=peer_message_dropped reason=%s peer=%s count=%d", reason, vm, count
        )

    def _schedule_idle_check(self) -> None:
        self._idle_timer = self._loop.call_later(
            IDLE_CHECK_INTERVAL, self._close_idle_links
        )

    def _close_idle_links(self) -> None:
        """Close the connections that are idle and schedule the next check."""
        now = self._loop.time()
        for link in self._links.values():
            if link.socket is not None and now - link.used_at >= IDLE_TIMEOUT:
                self._close_link(link)
        self._schedule_idle_check()


def _build_url(host: str, port: int) -> str:
    if ":" in host:
        host = f"[{host}]"
    return f"tcp://{host}:{port}"
