# Two commands do everything on a machine with Python 3.11, make and pip: make demo, make test.
PYTHON ?= python3.11
BIN := .venv/bin
PROJECTS := $(wildcard packages/*) platform standins
EDITABLE := $(foreach project,$(PROJECTS),-e ./$(project))

.PHONY: test demo bench slopes trials experiment lint format clean

.venv/ready: requirements.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml standins/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(EDITABLE)
	touch $@

test: .venv/ready
	$(BIN)/python -m pytest --numprocesses auto

demo: .venv/ready
	$(BIN)/python scripts/demo.py

bench: .venv/ready
	$(BIN)/python scripts/bench.py $(if $(QUICK),--quick,)

slopes: .venv/ready
	$(BIN)/python scripts/slopes.py

trials: .venv/ready
	$(BIN)/python scripts/trials.py

experiment: .venv/ready
	$(BIN)/python scripts/experiment.py --plots build/plots

lint: .venv/ready
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: .venv/ready
	$(BIN)/black --quiet .
	$(BIN)/ruff check --fix --quiet .

clean:
	rm -rf .venv build
