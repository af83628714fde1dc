# Targets create the virtual environment if it does not exist.
PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: demo test lint format binary check-binary regress fuzz

demo: $(STAMP)
	$(BIN)/sassafrasflow demo

# .ci/run runs the known failures in KNOWN-RED.txt separately.
# Crowds run one at a time, so that no other test takes memory or time.
test: $(STAMP)
	$(BIN)/python -m pytest -n 4 -m "not crowd" \
		$(shell sh tools/known_red.sh deselect)
	$(BIN)/python -m pytest -m crowd $(shell sh tools/known_red.sh deselect)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8
	$(BIN)/mypy

# Builds dist/sassafrasflow.pyz, which needs Python 3.11 to run.
binary: $(STAMP)
	PYTHON=$(BIN)/python sh tools/build_binary.sh

check-binary: binary
	$(BIN)/python -m pytest -q checks

# Scores the standard days of deployments:
#   make regress FLEETBENCH=... SITES="..."
regress:
	for site in $(SITES); do \
		$(FLEETBENCH) score $$site --why "Regression days" || exit 1; \
	done

# The default of 15000 examples takes ten minutes.
fuzz: $(STAMP)
	FUZZ_EXAMPLES=$${FUZZ_EXAMPLES:-15000} $(BIN)/python -m pytest -q \
		sassafrasflow/gateway/tests/test_fuzz.py

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

# Benchmarks print one JSON object per line.
bench-%: $(STAMP)
	$(BIN)/python -m benchmarks.$*

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[test,dev]'
	touch $(STAMP)
