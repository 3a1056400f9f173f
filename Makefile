# Everything a newcomer needs: `make demo` runs the main job, `make test` the
# tests. Both make the virtual environment first.
PYTHON ?= python3
VENV ?= .venv
PACKAGES = core daemon cli bench
EDITABLE = -e platform $(foreach name,$(PACKAGES),-e packages/papayabay-$(name))

.PHONY: demo test lint format

$(VENV)/installed: constraints.txt $(wildcard packages/*/pyproject.toml platform/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check \
		-c constraints.txt ruff nose2 $(EDITABLE)
	touch $@

demo: $(VENV)/installed
	$(VENV)/bin/python -m papayabay_bench demo

test: $(VENV)/installed
	$(VENV)/bin/python -m nose2 --config nose2.cfg

lint: $(VENV)/installed
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: $(VENV)/installed
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .
