# Set VENV to use a virtual environment that already exists.
VENV ?= .venv
PYTHON ?= python3
RUN := $(VENV)/bin/python
export PYTHONPATH := $(CURDIR)
SEED ?= 1
SECONDS ?= 30
VMS ?= 6
# Of soak-entry: a commit whose build serves beside this one, and in which order.
OLDER ?=
ORDER ?= up

.PHONY: setup demo test lint unit bench bench-policy bench-capacity bench-fleet soak soak-entry

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e . || $(VENV)/bin/pip install -q --no-deps -e .
	touch $@

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

unit: setup
	$(RUN) -m tests.run

test: lint unit

demo: setup
	$(RUN) -m standins.demo
	$(RUN) -m standins.platform_demo

bench: setup
	$(VENV)/bin/pip install -q -r requirements-bench.lock
	$(RUN) -m bench.path

bench-policy: setup
	$(VENV)/bin/pip install -q -r requirements-bench.lock
	$(RUN) -m bench.policy

bench-capacity: setup
	$(RUN) -m bench.capacity

bench-fleet: setup
	$(RUN) -m bench.fleet

soak: setup
	$(RUN) -m tests.faults.soak --seed $(SEED)

soak-entry: setup
	$(RUN) -m tests.faults.entry_soak --seed $(SEED) --seconds $(SECONDS) --vms $(VMS) \
		--older "$(OLDER)" --order $(ORDER)
