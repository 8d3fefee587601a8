PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SOURCES := verbenashore platform standins lab tests spec
KNOWN_RED := $(shell sed -n 's/^test: /--deselect /p' KNOWN-RED.txt)
SPIN := command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)

.PHONY: demo test format lint unit spec spec-small spec-mutants mutants soak soak-machines measure capacity known-red clean

$(VENV)/stamp: requirements/run.txt requirements/dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements/dev.txt
	$(BIN)/pip install -q --no-deps --no-build-isolation -e . || $(BIN)/pip install -q --no-deps -e .
	touch $@

demo: $(VENV)/stamp
	sh lab/demo.sh $(BIN)

test: lint spec-small unit known-red

lint: $(VENV)/stamp
	$(BIN)/black --check --quiet $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/mypy --no-error-summary

format: $(VENV)/stamp
	$(BIN)/ruff check --fix --quiet $(SOURCES)
	$(BIN)/black --quiet $(SOURCES)

unit: $(VENV)/stamp
	$(BIN)/pytest $(KNOWN_RED)

known-red:
	@if [ -s KNOWN-RED.txt ]; then cat KNOWN-RED.txt; fi

SEED ?= 1
COUNT ?= 1

soak: $(VENV)/stamp
	$(BIN)/python -m tests.soak --seed $(SEED) --count $(COUNT)

soak-machines: $(VENV)/stamp
	VERBENA_SOAK=1 $(BIN)/pytest tests/test_consensus.py tests/test_machine.py --timeout 3600

spec-small: $(VENV)/stamp
	@$(SPIN)
	$(BIN)/python spec/check.py --small

spec: $(VENV)/stamp
	@$(SPIN)
	$(BIN)/python spec/check.py

spec-mutants: $(VENV)/stamp
	@$(SPIN)
	$(BIN)/python spec/check.py --mutants

mutants: $(VENV)/stamp
	$(BIN)/python -m lab.mutants

measure: $(VENV)/stamp
	$(BIN)/python -m lab.system
	$(BIN)/python -m lab.measure

capacity: $(VENV)/stamp
	$(BIN)/python -m lab.capacity

clean:
	rm -rf $(VENV) run spec/build
