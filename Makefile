# make demo: builds, then runs a rollout step and ordinary requests end to end.
# make test: builds, then runs every test.
PRESET ?= release
BUILD := build/$(PRESET)

.PHONY: build test demo lint format check-format clean

build:
	scripts/install-deps.sh
	cmake --preset $(PRESET) > /dev/null
	cmake --build $(BUILD)

test: build
	scripts/run-tests.sh $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)

check-format:
	scripts/check-format.sh

format:
	git ls-files 'src/*.[ch]pp' 'platform/*.[ch]pp' 'tests/*.[ch]pp' | xargs clang-format-14 -i

lint: build
	scripts/lint.sh $(BUILD)

clean:
	rm -rf build
