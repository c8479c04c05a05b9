VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: run fleet test check format generate measure fuzz

$(STAMP): requirements.txt requirements-dev.txt
	@test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	@$(BIN)/python -m pip install --quiet -r requirements.txt -r requirements-dev.txt
	@touch $(STAMP)

run: $(STAMP)
	@$(BIN)/python -m standins.demo examples/demo.yaml examples/demo-services.yaml

fleet: $(STAMP)
	@$(BIN)/python -m standins.fleet

test: $(STAMP)
	@$(BIN)/python -m pytest

check: $(STAMP)
	@$(BIN)/black --check --quiet . || { $(BIN)/black --check .; exit 1; }
	@$(BIN)/ruff check .
	@$(BIN)/mypy

format: $(STAMP)
	@$(BIN)/black --quiet .
	@$(BIN)/ruff check --fix --quiet .

generate: $(STAMP)
	@$(BIN)/python -m codegen

measure: $(STAMP)
	@$(BIN)/python -m measure

SECONDS ?= 60
fuzz: $(STAMP)
	@FUZZ_SECONDS=$(SECONDS) $(BIN)/python -m pytest -m fuzz
