PORT ?= 8080
SEEDS ?=
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := packages/medlargate packages/medlargate-ctl packages/medlargate-standins
EDITABLE := $(foreach package,$(PACKAGES),-e $(package))

.PHONY: run test fuzz mutants bench capacity lint format load faults membership soak

$(VENV)/installed: requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	@$(PYTHON) -m venv $(VENV) 1>&2
	@$(BIN)/python -m pip install -q --disable-pip-version-check $(EDITABLE) \
		-r requirements-dev.txt 1>&2
	@touch $@

run: $(VENV)/installed
	@$(BIN)/medlargate demo --port $(PORT)

test: $(VENV)/installed
	@$(BIN)/python -m medlargate_standins.run_tests

lint: $(VENV)/installed
	@$(BIN)/ruff format --check -q .
	@$(BIN)/ruff check -q .

format: $(VENV)/installed
	@$(BIN)/ruff format -q .
	@$(BIN)/ruff check -q --fix .

fuzz: $(VENV)/installed
	@MEDLARGATE_FUZZ=long $(BIN)/python -m medlargate_standins.run_tests fuzz

mutants: $(VENV)/installed
	@$(BIN)/python benchmarks/mutants.py

bench: $(VENV)/installed
	@$(BIN)/python benchmarks/policy.py

load: $(VENV)/installed
	@$(BIN)/python benchmarks/data_path.py

capacity: $(VENV)/installed
	@$(BIN)/python benchmarks/capacity.py

faults: $(VENV)/installed
	@$(BIN)/python benchmarks/faults.py

membership: $(VENV)/installed
	@$(BIN)/python benchmarks/membership.py

soak: $(VENV)/installed
	@$(BIN)/python -m medlargate_standins.soak --seeds "$(SEEDS)" --count 5
