# Shorthand for what README.md explains.
BUILD := build
SANITIZED := build-sanitize
SOURCES := $(shell find src tests bench fuzz -name '*.cpp' -o -name '*.hpp')
# Debian 12's clang cannot read the module's views together with GCC 12's library.
TIDIED := $(filter-out src/search_scheduler.cpp,$(filter %.cpp,$(SOURCES)))

.PHONY: build test sanitize lint format run clean measure fuzz rota-long

build:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4

test: build
	ctest --test-dir $(BUILD) --output-on-failure

sanitize:
	cmake -B $(SANITIZED) -DCMAKE_BUILD_TYPE=Debug -DIVYRILL_SANITIZE=ON
	cmake --build $(SANITIZED) -j4
	ctest --test-dir $(SANITIZED) --output-on-failure

lint: build
	clang-format --dry-run -Werror $(SOURCES)
	clang-tidy -p $(BUILD) --quiet --extra-arg=-Wno-unknown-warning-option $(TIDIED)

format:
	clang-format -i $(SOURCES)

# CONFIG=FILE names the configuration; without it RELAY_CONFIG does.
run: build
	$(BUILD)/ivyrill serve $(if $(CONFIG),--config $(CONFIG))

# NAME=access: what a direction promises, measured; its last line is one JSON object, and it fails where a promise
# is broken. MORE: further arguments, as MORE="--seeds 1:50" for NAME=soak.
measure:
	cmake -B $(BUILD) -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD) -j4 --target measure_$(NAME)
	@$(BUILD)/measure_$(NAME) $(MORE)

# The order of work for longer: ten times the schedules, five evenings of processes.
rota-long: build
	cmake --build $(BUILD) -j4 --target measure_rota
	$(BUILD)/measure_rota --long

# NAME=token, script, certificate, h2, members or parcels; SECONDS=... or, for a fixed count of inputs, RUNS=...
FUZZED := build-fuzz
SECONDS ?= 60
fuzz:
	cmake -B $(FUZZED) -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_COMPILER=clang++ -DIVYRILL_FUZZ=ON -DBUILD_TESTING=OFF
	cmake --build $(FUZZED) -j4 --target fuzz_$(NAME)
	$(if $(RUNS),rm -rf $(FUZZED)/found_$(NAME))
	mkdir -p $(FUZZED)/found_$(NAME)
	$(FUZZED)/fuzz_$(NAME) -seed=1 $(if $(RUNS),-runs=$(RUNS),-max_total_time=$(SECONDS)) -timeout=10 -verbosity=0 \
	  -max_len=4096 -artifact_prefix=$(FUZZED)/ $(FUZZED)/found_$(NAME) fuzz/seeds/$(NAME)

clean:
	rm -rf $(BUILD) $(SANITIZED) $(FUZZED)
