PYTHON = .venv/bin/python

.PHONY: build test lint run proto

build: .venv/bin/pytest
	$(PYTHON) -m compileall -q stalltiller

.venv/bin/pytest: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(PYTHON) -m pytest -q

proto: build
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. stalltiller/fleet/fleet.proto stalltiller/leases/leases.proto stalltiller/recovery/recovery.proto

lint: build
	$(PYTHON) -m ruff check .
	$(PYTHON) -m ruff format --check .
	$(PYTHON) -m mypy

# Starts the example; `python examples/toy_server.py` in another terminal gives it a target.
run: build
	PROXY_CONFIG=examples/config.json $(PYTHON) -m stalltiller
