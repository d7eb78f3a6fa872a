# VENV may name an existing environment, such as one shared by work trees.
VENV ?= .venv
PYTHON ?= python3.11
PY = PYTHONPATH=src:. $(VENV)/bin/python -W ignore
DEPLOYMENT ?= guild
SEED ?= 1
STEPS ?= 200
SECONDS ?= 120
HOSTS ?= 4

.PHONY: demo demo-nodes test bench report fuzz soak soak-sidecars binary format lint typecheck unit clean

$(VENV)/.ready: requirements-dev.lock
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check \
	    -r requirements-dev.lock
	touch $@

demo: $(VENV)/.ready
	$(PY) -m tools.demo

demo-nodes: $(VENV)/.ready
	$(PY) -m tools.demo_nodes --deployment $(DEPLOYMENT)

test: lint typecheck unit

lint: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/flake8 src tests bench tools

typecheck: $(VENV)/.ready
	$(VENV)/bin/mypy

unit: $(VENV)/.ready
	$(PY) -m pytest

format: $(VENV)/.ready
	$(VENV)/bin/ruff check -q --fix .
	$(VENV)/bin/ruff format .

bench: $(VENV)/.ready
	$(PY) -m bench.run

report: $(VENV)/.ready
	$(PY) tools/report.py
	$(PY) tools/capacity.py --write

fuzz: $(VENV)/.ready
	$(PY) tools/fuzz.py --seed $(SEED) --steps $(STEPS)

soak: $(VENV)/.ready
	$(PY) tools/soak.py --deployment $(DEPLOYMENT) --seed $(SEED) \
	    --seconds $(SECONDS)

soak-sidecars: $(VENV)/.ready
	$(PY) tools/soak_sidecars.py --seed $(SEED) --seconds $(SECONDS) \
	    --hosts $(HOSTS)

binary: $(VENV)/.ready
	$(PY) tools/build_binary.py

clean:
	rm -rf build dist
