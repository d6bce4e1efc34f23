# Every target makes its environment first; VENV names another place for it.
VENV ?= .venv
PYTHON ?= python3
JUNIT ?= build/junit.xml
BIN := $(VENV)/bin
PACKAGES := $(wildcard packages/*) platform
STAMP := $(VENV)/.up-to-date

.PHONY: venv test demo lint format-check model-check

venv: $(STAMP)

$(STAMP): requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
	    -r requirements.txt $(PACKAGES:%=-e %)
	touch $@

test: venv
	mkdir -p $(dir $(JUNIT))
	$(BIN)/python -m nose2 -s tests -t . --junit-xml-path $(JUNIT)

demo: venv
	BIN=$(BIN) scripts/demo.sh
	$(BIN)/python -m walnutpoint_standins.demo

lint: venv
	$(BIN)/flake8

format-check: venv
	$(BIN)/ruff format --check .

# The specification is checked where it exists.
model-check: venv
	@if [ -d specs ]; then \
	    $(BIN)/python -m specs; \
	else \
	    echo 'model-check: no directory specs, nothing to check' >&2; \
	    exit 1; \
	fi
