"""Encodes and checks session tokens."""

import base64
import binascii
import enum
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from ..model import Position

MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64

_TAG_BYTES = 16
# BLAKE2b personalization: tags differ from those of any other use of the key.
_PERSONALIZATION = b"siskinhold-token"
_VERSION = b"\x01"


class TokenFault(enum.Enum):
    """Why a token is refused."""

    MALFORMED = "malformed"
    ALTERED = "altered"
    VERSION = "version"


@dataclass(slots=True, kw_only=True, frozen=True)
class TokenError:
    """A refused token."""

    fault: TokenFault
    detail: str


class _Entry(msgspec.Struct, array_like=True, frozen=True):
    """The log position of one database in a token."""

    database: str
    term: int
    offset: int


class TokenCodec:
    """Signs tokens with the first key and accepts tokens signed with any of the keys.

    Args:
        keys: the fleet's keys, 16 to 64 bytes each.

    Raises:
        ValueError: if there is no key or one has a wrong length.
    """

    __slots__ = ("_keys", "_encoder", "_decoder")

    def __init__(self, *, keys: tuple[bytes, ...]) -> None:
        if not keys:
            raise ValueError("at least one token key is needed")
        for key in keys:
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise ValueError("a token key must have 16 to 64 bytes")
        self._keys = keys
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[_Entry])

    def encode(self, positions: Mapping[str, Position]) -> str:
        """Return the token for a session's log positions by database name.

        It is the unpadded base64url text of the tag, the version and the positions.
        """
        entries = [
            _Entry(database, position.term, position.offset)
            for database, position in sorted(positions.items())
        ]
        body = _VERSION + self._encoder.encode(entries)
        return _encode_base64(_sign(self._keys[0], body) + body)

    def decode(self, token: str) -> Result[dict[str, Position], TokenError]:
        """Return the log positions by database name. Never raises."""
        data = _decode_base64(token)
        if data is None or len(data) <= _TAG_BYTES:
            return _error(
                TokenFault.MALFORMED, "the token is too short or not base64url text"
            )
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if not self._has_valid_tag(tag, body):
            return _error(TokenFault.ALTERED, "the token's tag matches no accepted key")
        if body[:1] != _VERSION:
            return _error(TokenFault.VERSION, f"unknown token version {body[0]}")
        try:
            entries = self._decoder.decode(body[1:])
        except msgspec.MsgspecError:
            return _error(TokenFault.MALFORMED, "the token's body can't be read")
        return Ok({entry.database: _to_position(entry) for entry in entries})

    def _has_valid_tag(self, tag: bytes, body: bytes) -> bool:
        """Return whether one of the keys made the tag.

        Compares with every key, so that the time does not depend on which one matches.
        """
        accepted = False
        for key in self._keys:
            accepted |= hmac.compare_digest(tag, _sign(key, body))
        return accepted


def _to_position(entry: _Entry) -> Position:
    return Position(entry.term, entry.offset)


def _sign(key: bytes, body: bytes) -> bytes:
    """Return the authentication tag of a body."""
    digest = hashlib.blake2b(
        body, digest_size=_TAG_BYTES, key=key, person=_PERSONALIZATION
    )
    return digest.digest()


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _decode_base64(token: str) -> bytes | None:
    """Return the decoded bytes, or None if the text is not their canonical encoding."""
    try:
        text = token.encode("ascii")
        data = base64.urlsafe_b64decode(text + b"=" * (-len(text) % 4))
    except (binascii.Error, UnicodeEncodeError, ValueError):
        return None
    return data if _encode_base64(data) == token else None


def _error(fault: TokenFault, detail: str) -> Err[TokenError]:
    return Err(TokenError(fault=fault, detail=detail))
