"""The measures of scheduling under load."""

from siskinhold_trial.load import MALABAR, make_baseline, measure_short_wait


class TestShortWait:
    def test_same_seed_gives_the_same_result(self):
        """Guards against a measure that depends on more than its seed."""
        results = []
        for _ in range(2):
            result = measure_short_wait(
                MALABAR, make_baseline(), stragglers=0.001, seconds=2.5, seed=3
            )
            results.append(result)
        assert results[0] == results[1]
        assert results[0].wait.runs > 100
        assert results[0].short_lost == 0
