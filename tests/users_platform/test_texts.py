"""Tests that texts of callers, operators and store entries read back the same."""

import pytest

from siskinhold_platform._objects import ObjectUnreadable, decode_server

from .test_objects import make_entry


class TestEntries:
    @pytest.mark.parametrize("text", ["", "a b", "a\r\nb", "\ud800"])
    def test_entry_that_is_no_field_of_a_line_is_unreadable(self, text):
        """Guards against a `CONNECT` with other fields, or two lines, for an entry."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", make_entry(service=text))
        if text == "a b":
            assert decode_server(text, make_entry()).server == text
            return
        with pytest.raises(ObjectUnreadable):
            decode_server(text, make_entry())

    def test_lone_surrogate_in_a_zone_is_unreadable(self):
        """Guards against an entry that no VM can send to another."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", make_entry(zone="\ud800"))
