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
        """A token gives back its positions; an empty session has one too."""
        for positions in [POSITIONS, {}]:
            assert OLD.decode(OLD.encode(positions)).unwrap() == positions

    def test_rotation(self):
        """Old tokens pass while their key is kept, new ones need the new key."""
        assert NEW.decode(OLD.encode(POSITIONS)).unwrap() == POSITIONS
        error = OLD.decode(NEW.encode(POSITIONS)).unwrap_err()
        assert error.fault is TokenFault.ALTERED

    def test_size(self):
        """Four databases take under 200 bytes; guards the design's bound."""
        positions = {f"builders-{n:07}": Position(70_000, 2**40) for n in range(4)}
        assert len(OLD.encode(positions)) < 200

    def test_every_change_is_refused(self):
        """Any changed character is refused, padding bits included."""
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
        """A short or absent key is refused at the start."""
        for keys in [(), (b"a" * 15,), (b"a" * 65,)]:
            with pytest.raises(ValueError):
                TokenCodec(keys=keys)

    @given(strategies.text())
    def test_no_text_raises(self, text):
        """Text of a caller never raises."""
        assert OLD.decode(text).is_err()
