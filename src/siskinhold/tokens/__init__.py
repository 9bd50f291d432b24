"""Session tokens: a session's log positions, signed with the fleet's key."""

from ._tokens import MAX_KEY_BYTES, MIN_KEY_BYTES, TokenCodec, TokenError, TokenFault

__all__ = [
    "MAX_KEY_BYTES",
    "MIN_KEY_BYTES",
    "TokenCodec",
    "TokenError",
    "TokenFault",
]
