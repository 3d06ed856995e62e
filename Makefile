# Each target makes what it needs: a virtual environment with the pinned tools, once.
PYTHON ?= python3
.DEFAULT_GOAL := rehearse

.venv/.made: requirements.txt requirements-kit.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/python -m pip -q --disable-pip-version-check install \
		-r requirements.txt -r requirements-kit.txt -r requirements-dev.txt
	touch $@

# What plays whole fleets against the clock has the machine to itself; tiers with faults between them, that
# are judged by what must never be, share it by two.
ALONE = tests/rehearsal/test_runs.py tests/rehearsal/test_soak.py tests/gateway/test_answers.py tests/gateway/test_floods.py
TIERS = tests/gateway/cluster/test_lease_tier.py tests/gateway/cluster/test_budget_tier.py tests/gateway/dynamic_config/test_config_processes.py

.PHONY: rehearse fleet test known-red
rehearse: .venv/.made  ## a whole fleet for about a minute, judged by the five rules
	.venv/bin/python -m plumpick.cli rehearse

fleet: .venv/.made  ## a whole fleet that stays up until Ctrl-C
	.venv/bin/python -m plumpick.cli fleet

test: .venv/.made  ## formatter, linter and all tests
	.venv/bin/python -m ruff format --check .
	.venv/bin/python -m ruff check .
	.venv/bin/python -m pytest -q -n 6 --dist loadfile $(addprefix --ignore=,$(ALONE) $(TIERS))
	.venv/bin/python -m pytest -q -n 2 --dist loadfile $(TIERS)
	.venv/bin/python -m pytest -q $(ALONE)

known-red: .venv/.made  ## just the tests of known faults: which of them still fail
	.venv/bin/python -m pytest -q --known-red -rfEp
