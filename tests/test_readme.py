"""The README against the code."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
_PACKAGE = re.compile(r"^      (\w+)/ +\S", re.MULTILINE)


def list_folders(package):
    folder = ROOT / "src" / package
    return {path.parent.name for path in folder.glob("*/__init__.py")}


class TestPackageMap:
    def test_agrees_with_the_folders(self):
        """Guards against a map that misses a package or names one that is gone."""
        text = (ROOT / "README.md").read_text(encoding="utf-8")
        _, _, rest = text.partition("    src/siskinhold/\n")
        own, _, trial = rest.partition("    src/siskinhold_trial/\n")
        trial = trial.partition("\n\n")[0]
        assert set(_PACKAGE.findall(own)) == list_folders("siskinhold")
        assert set(_PACKAGE.findall(trial)) == list_folders("siskinhold_trial")
