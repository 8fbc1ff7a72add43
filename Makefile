PYTHON = .venv/bin/python

.PHONY: build test lint run

build: .venv/bin/pytest
	$(PYTHON) -m compileall -q stalltiller

.venv/bin/pytest: requirements.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(PYTHON) -m pytest -q

lint: build
	$(PYTHON) -m ruff check .

# Starts the example; `python examples/toy_server.py` in another terminal gives it a target.
run: build
	PROXY_CONFIG=examples/config.json $(PYTHON) -m stalltiller
