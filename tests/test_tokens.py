"""Tests of session tokens."""

import pytest
from hypothesis import given, strategies

from siskinhold.model import Position
from siskinhold.tokens import TokenCodec, TokenFault

OLD = TokenCodec(keys=(b"a" * 16,))
NEW = TokenCodec(keys=(b"b" * 64, b"a" * 16))
POSITIONS = {"orders": Position(3, 17), "quotes": Position(1, 0)}


class TestTokens:
    def test_round_trip(self):
        """A token decodes to its positions, also if a session has none."""
        for positions in [POSITIONS, {}]:
            assert OLD.decode(OLD.encode(positions)).unwrap() == positions

    def test_rotation(self):
        """Tokens are accepted while their key is listed; the first key signs."""
        assert NEW.decode(OLD.encode(POSITIONS)).unwrap() == POSITIONS
        error = OLD.decode(NEW.encode(POSITIONS)).unwrap_err()
        assert error.fault is TokenFault.ALTERED

    def test_size(self):
        """A token for four databases takes under 200 bytes, the design's limit."""
        positions = {f"builders-{n:07}": Position(70_000, 2**40) for n in range(4)}
        assert len(OLD.encode(positions)) < 200

    def test_every_change_is_refused(self):
        """A change of any character is detected, including changed padding bits."""
        token = OLD.encode(POSITIONS)
        for index, character in enumerate(token):
            for other in "AB_=\n é":
                if other == character:
                    continue
                changed = token[:index] + other + token[index + 1 :]
                assert OLD.decode(changed).is_err()
            assert OLD.decode(token[:index]).is_err()
        for changed in [token + "=", token + "A", " " + token]:
            assert OLD.decode(changed).is_err()

    def test_keys(self):
        """The codec refuses to start without keys or with a key of invalid length."""
        for keys in [(), (b"a" * 15,), (b"a" * 65,)]:
            with pytest.raises(ValueError):
                TokenCodec(keys=keys)

    @given(strategies.text())
    def test_no_text_raises(self, text):
        """No text from a caller raises."""
        assert OLD.decode(text).is_err()
