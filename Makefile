# Every target makes its own environment in .venv from requirements.lock.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src:$(CURDIR)/platform
export PYTHONHASHSEED := 0

.PHONY: test demo lint format prove measure capacity

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/black --check --quiet src platform tests scripts conftest.py deploy
	$(BIN)/isort --check --quiet src platform tests scripts conftest.py deploy
	$(BIN)/flake8 src platform tests scripts conftest.py deploy

format: $(VENV)/.installed
	$(BIN)/isort --quiet src platform tests scripts conftest.py deploy
	$(BIN)/black --quiet src platform tests scripts conftest.py deploy

demo: $(VENV)/.installed
	$(BIN)/python scripts/demo.py

prove: $(VENV)/.installed
	$(BIN)/python scripts/prove.py

measure: $(VENV)/.installed
	$(BIN)/python scripts/measure.py

capacity: $(VENV)/.installed
	$(BIN)/python scripts/capacity.py
