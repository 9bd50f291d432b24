"""Session tokens: a session's log positions, signed with the fleet's key."""

from ._tokens import TokenCodec, TokenError, TokenFault

__all__ = ["TokenCodec", "TokenError", "TokenFault"]
