VENV ?= .venv
PYTHON ?= python3
PY = $(VENV)/bin/python
STAMP = $(VENV)/.installed

# Site files of the regression runs, below the folder SITES.
REGRESS_SITES ?= grown/eandinos-grown.toml grown/donkerlug-grown.toml \
    further/dvorak-sit.toml further-grown/dvorak-sit-grown.toml \
    large/eandinos-large.toml

.PHONY: setup test demo matrix bench slopes soak search platform-run regress format catalogue

$(STAMP): requirements/lock.txt pyproject.toml
	test -x $(PY) || $(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q -r requirements/lock.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e . || \
	    $(PY) -m pip install -q --no-deps -e .
	touch $@

setup: $(STAMP)

test: $(STAMP)
	$(PY) -m ruff format --check .
	$(PY) -m ruff check .
	$(PY) -m tools.run_tests

demo: $(STAMP)
	$(PY) -m examples.demo

matrix: $(STAMP)
	$(PY) -m jackdawsill.matrix

bench: $(STAMP)
	$(PY) -m benchmarks.fanout $(BENCH_ARGS)

slopes: $(STAMP)
	$(PY) -m benchmarks.slopes

soak: $(STAMP)
	cd platform && ../$(PY) -m jackdawsill_platform.soak $(SOAK_ARGS)

search: $(STAMP)
	$(PY) -m tools.long_search $(SEARCH_ARGS)

platform-run:
	$(BENCH) run $(SITE) $(DAY) --why "$(WHY)"

regress: $(STAMP)
	cd platform && ../$(PY) -m jackdawsill_platform.regress --root .. \
	    --bench $(abspath $(BENCH)) $(REGRESS_ARGS) \
	    $(addprefix $(abspath $(SITES))/,$(REGRESS_SITES))

catalogue: $(STAMP)
	$(PY) -m tools.catalogue
	$(PY) -m tools.api_list
	$(PY) -m tools.constants

format: $(STAMP)
	$(PY) -m ruff format .
	$(PY) -m ruff check --fix .
