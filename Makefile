# The few commands of the project; `make help` lists them.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
PACKAGES := packages/hingesill-core packages/hingesill-api packages/hingesill-node packages/hingesill-cli
STAMP := $(VENV)/installed
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: help install generate docs lint format test demo bench matrix soak platform-soak mixed model-check clean

help: ## List the commands.
	@grep -E '^[a-z-]+:.*##' Makefile | sed 's/:.*##/:/'

$(STAMP): constraints.txt requirements-dev.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -c constraints.txt setuptools wheel
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-build-isolation -c constraints.txt -r requirements-dev.txt $(addprefix -e ,$(PACKAGES))
	touch $(STAMP)

install: $(STAMP) ## Make the virtual environment with everything in it.

generate: $(STAMP) ## Generate the code of the schema file.
	$(RUN) scripts/generate_api.py

docs: $(STAMP) ## Write the pages that are made from the code.
	$(RUN) scripts/generate_docs.py

lint: $(STAMP) ## Check format, imports and style.
	$(VENV)/bin/black -q --check .
	$(VENV)/bin/isort -q --check .
	$(VENV)/bin/flake8 .

format: $(STAMP) ## Format the code.
	$(VENV)/bin/isort -q .
	$(VENV)/bin/black -q .

test: lint ## Run linters and all tests.
	$(RUN) scripts/run_tests.py

demo: $(STAMP) ## Two nodes under load, one stopped in a planned way.
	$(RUN) -m demo.main

bench: $(STAMP) ## Run a bench: make bench NAME=added-latency.
	$(RUN) -W ignore -m bench.main $(NAME)

matrix: $(STAMP) ## Run the fault matrix.
	$(RUN) -m matrix.main

soak: $(STAMP) ## Run fresh seeds of the fault soak: make soak SEEDS=50, or SEED=7.
	$(RUN) -W ignore -m soak.main $(if $(SEED),--seed=$(SEED),--seeds=$(or $(SEEDS),10))

platform-soak: $(STAMP) ## Run fresh seeds against the platform's program: SEEDS=20, or SEED=7.
	PYTHONPATH=platform $(RUN) -W ignore -m adapter.tests.platformsoak $(if $(SEED),--seed=$(SEED),--seeds=$(or $(SEEDS),10))

mixed: $(STAMP) ## Run this build beside an older one: make mixed BASE=<commit>.
	PYTHONPATH=platform $(RUN) -W ignore -m mixed.main --base=$(BASE)

model-check: $(STAMP) ## Check the specification of the protocol.
	$(RUN) -m model.main

clean: ## Remove the virtual environment.
	rm -rf $(VENV)
