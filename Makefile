# Every target makes its own environment in .venv from requirements.lock.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
export PYTHONPATH := $(CURDIR)/src
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
	$(BIN)/black --check --quiet src tests scripts
	$(BIN)/isort --check --quiet src tests scripts
	$(BIN)/flake8 src tests scripts

format: $(VENV)/.installed
	$(BIN)/isort --quiet src tests scripts
	$(BIN)/black --quiet src tests scripts

demo: $(VENV)/.installed
	$(BIN)/python scripts/demo.py

prove: $(VENV)/.installed
	$(BIN)/python scripts/prove.py

measure: $(VENV)/.installed
	$(BIN)/python scripts/measure.py

capacity: $(VENV)/.installed
	$(BIN)/python scripts/capacity.py
