# Chores of developers and users; needs Python 3.11, pip and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core daemon emulator cli
MEMBERS := $(PACKAGES:%=packages/peridotyard-%) platform

.PHONY: help install format lint generate document test demo local bench lock

help:
	@echo "make install   install into .venv"
	@echo "make demo      start a deployment, show a failure being survived"
	@echo "make local     keep a deployment running until Ctrl-C"
	@echo "make test      run all tests"
	@echo "make lint      check format, style, imports and generated code"
	@echo "make bench     measure; prints tables"
	@echo "make format    format the code"
	@echo "make generate  generate the thrift code"
	@echo "make document  write the settings reference of docs/operators.md"

install: $(VENV)/installed

$(VENV)/installed: requirements.lock $(MEMBERS:%=%/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-deps --no-build-isolation \
	  $(MEMBERS:%=-e ./%)
	touch $@

lock:
	$(BIN)/pip install -q -U -r requirements.in
	$(BIN)/pip freeze --all --exclude-editable | grep -v '^pip==' > requirements.lock

format: install
	$(BIN)/ruff check -q --select I --fix .
	$(BIN)/pyink -q .

lint: install
	$(BIN)/pyink -q --check --diff .
	$(BIN)/ruff check -q .
	$(BIN)/python tools/imports.py
	$(BIN)/python tools/platform_names.py
	$(BIN)/lint-imports
	$(BIN)/python tools/document_options.py --check
	tools/generate.sh --check

generate:
	tools/generate.sh

document: install
	$(BIN)/python tools/document_options.py

test: install
	$(BIN)/python tools/run_tests.py

demo: install
	$(BIN)/peridotyard demo

local: install
	$(BIN)/peridotyard local

bench: install
	$(BIN)/python -m bench
