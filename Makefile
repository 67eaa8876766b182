VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: run test lint types format bench soak capacity

$(STAMP): requirements/lock.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements/lock.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation --editable .
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/marigoldswitch-demo $(ARGS)

test: $(STAMP)
	$(BIN)/python -m pytest -m "not crowd"
	$(BIN)/python -m pytest -n 0 -m crowd

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: $(STAMP)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m marigoldswitch.tools.bench $(ARGS)

soak: $(STAMP)
	$(BIN)/python -m marigoldswitch.tools.soak $(ARGS)

capacity: $(STAMP)
	$(BIN)/python -m marigoldswitch.tools.capacity $(ARGS)
