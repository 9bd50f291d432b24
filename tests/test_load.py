"""Measurements of scheduling under load."""

from siskinhold_trial.load import (
    CRANNOG,
    MALABAR,
    make_baseline,
    make_policy,
    measure_short_wait,
)


class TestShortWait:
    def test_same_seed_gives_the_same_result(self):
        """Guards against a measurement that depends on more than its seed."""
        results = []
        for _ in range(2):
            result = measure_short_wait(
                MALABAR, make_baseline(), stragglers=0.001, seconds=2.5, seed=3
            )
            results.append(result)
        assert results[0] == results[1]
        assert results[0].wait.runs > 100
        assert results[0].short_lost == 0

    def test_short_jobs_wait_little_beside_stragglers(self):
        """Guards against stragglers that take the slots of short jobs.

        With the baseline policy the p99 rises eightfold.
        """
        p99 = {}
        for stragglers in (0.0, 0.003):
            result = measure_short_wait(
                CRANNOG, make_policy(), stragglers=stragglers, seconds=3.5, seed=1
            )
            p99[stragglers] = result.wait.p99
            assert not result.short_lost and not result.long_lost
        assert result.long.runs > 0
        assert p99[0.003] <= 2 * p99[0.0]
