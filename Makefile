# Each target makes the virtual environment itself, so that one command is enough on a fresh machine.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
PACKAGES := scheduling coordination dispatch daemon emulator cli
STAMP := $(VENV)/.installed

.PHONY: demo test lint format thrift bench-policy bench-capacity bench-configuration bench-missed-changes bench-planning bench-crashes histories soak soak-processes

$(STAMP): constraints.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt setuptools wheel
	$(BIN)/pip install --quiet --constraint constraints.txt --no-build-isolation \
		$(foreach p,$(PACKAGES),--editable packages/heronthread-$(p)) \
		pytest pytest-trio hypothesis syrupy simpy ruff mypy
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/heronthread demo

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench-policy: $(STAMP)
	$(BIN)/python -m benchmarks.policy $(ARGS)

bench-capacity: $(STAMP)
	$(BIN)/python -m benchmarks.capacity $(ARGS)

bench-configuration: $(STAMP)
	$(BIN)/python -m benchmarks.configuration

bench-missed-changes: $(STAMP)
	$(BIN)/python -m benchmarks.missed_changes

bench-crashes: $(STAMP)
	$(BIN)/python -m benchmarks.crashes $(ARGS)

bench-planning: $(STAMP)
	$(BIN)/python -m benchmarks.planning

SEEDS ?= 200
PLANT ?=
histories: $(STAMP)
	$(BIN)/python -m benchmarks.histories --seeds $(SEEDS) $(if $(PLANT),--plant $(PLANT))

soak: $(STAMP)
	$(BIN)/heronthread emulation soak --seeds $(SEEDS)

soak-processes: $(STAMP)
	$(BIN)/heronthread soak --seeds $(SEEDS) --at_once 4

# Needs the thrift compiler; its output is committed, so no other target does.
thrift:
	thrift --gen py:slots,no_default_ordering -out packages/heronthread-dispatch/src/heronthread_dispatch packages/heronthread-dispatch/src/heronthread_dispatch/wire.thrift
