"""Tests of the checks whether the configuration is the newest one."""

import random

import pytest

from siskinhold.direct import (
    AccountBounds,
    AccountState,
    ConfigurationChecked,
    ConfigurationConfirmed,
    ConfigurationRead,
    CopyState,
    DirectState,
    Revision,
    compute_confirmed_period,
)
from siskinhold.lines import HistoryGone, StoreUnavailable, _feeds
from siskinhold.lines._clock import read_clock
from siskinhold.lines._feeds import (
    DEAF_PERIOD,
    StoreHealth,
    check_configuration,
    compute_watch_timeout,
)
from siskinhold_platform._objects import decode_configuration

from .standins import make_configuration

NEWER = decode_configuration(make_configuration(2, {}))


class CheckClient:
    """Answers one check.

    Args:
        watched: result of a watch, or the error that it raises.
        read: configuration that a read returns.
    """

    def __init__(self, *, watched=None, read=None):
        self.watched = watched
        self.read = read
        self.waits = []
        self.reads = []

    async def watch_configuration(self, revision, wait):
        """Return or raise what was prepared."""
        self.waits.append(wait)
        if isinstance(self.watched, Exception):
            raise self.watched
        return revision, self.watched

    async def read_configuration(self, *, fresh):
        """Record the read."""
        self.reads.append(fresh)
        return Revision(number=9), self.read


async def check(client, revision=7):
    """Run a check; return its events and the state of the feeds."""
    health, events = StoreHealth(), []
    if revision is not None:
        health.configuration_revision = Revision(number=revision)
    await check_configuration(client, events.append, health)
    return events, health


class TestCheck:
    async def test_unchanged_configuration_is_confirmed_by_a_short_watch(self):
        """Guards against reads of the whole configuration by each check."""
        client = CheckClient()
        before = read_clock()
        (confirmed, checked), health = await check(client)
        assert isinstance(confirmed, ConfigurationConfirmed)
        assert before - 1.1 * DEAF_PERIOD < confirmed.confirmed_at
        # A watch may not have heard the changes of that time.
        assert confirmed.confirmed_at <= read_clock() - DEAF_PERIOD
        assert isinstance(checked, ConfigurationChecked) and not checked.failed
        assert client.waits[0] < 0.01 and not client.reads
        assert not health.failing

    async def test_change_is_reported_before_it_is_confirmed(self):
        """Guards against an old configuration that is confirmed in between."""
        (read, confirmed, _), _ = await check(CheckClient(watched=NEWER))
        assert isinstance(read, ConfigurationRead)
        assert read.configuration.version == 2
        assert isinstance(confirmed, ConfigurationConfirmed)

    @pytest.mark.parametrize("revision", [None, 7])
    async def test_configuration_is_read_afresh_without_a_history(self, revision):
        """Guards against a check that fails as the store has dropped its history."""
        client = CheckClient(watched=HistoryGone(), read=NEWER)
        (read, _, checked), _ = await check(client, revision)
        assert client.reads == [True]
        assert read.configuration.version == 2
        assert not checked.failed

    async def test_check_without_an_answer_has_failed_soon(self, monkeypatch):
        """Guards against callers that wait for a store which is silent."""
        monkeypatch.setattr(_feeds, "CHECK_TIMEOUT", 0.05)
        client = CheckClient(watched=StoreUnavailable("away"))
        (checked,), health = await check(client)
        assert checked.failed
        assert health.failing


class TestWatches:
    @pytest.mark.parametrize("bound", [3.0, 5.0, 10.0])
    @pytest.mark.parametrize("withdrawal", [None, 5.0])
    def test_copy_stays_current_between_two_watches(self, bound, withdrawal):
        """Guards against decisions that wait for the store in calm."""
        state = DirectState(
            vm="vm1",
            zone="a",
            regions={"a": "east"},
            grace=6.0,
            random=random.Random(1),
            copy=CopyState(bound=bound),
            accounts=AccountState(bounds=AccountBounds(withdrawal=withdrawal)),
        )
        wait = compute_watch_timeout(state)
        assert 0.5 < wait
        assert DEAF_PERIOD + 2 * wait < compute_confirmed_period(state)
