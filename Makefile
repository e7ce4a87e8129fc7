# Two commands: `make demo` and `make test`. Each does all of its own set-up.
BUILD ?= build
PACKAGES = g++ cmake ninja-build pkg-config ccache clang-format clang-tidy valgrind \
	libcaf-dev libboost-dev libjsonrpccpp-dev libmicrohttpd-dev libcurl4-openssl-dev \
	libjsoncpp-dev libvalijson-dev libcpp-httplib-dev prometheus-cpp-dev libtclap-dev libfmt-dev \
	rapidjson-dev libcriterion-dev libbenchmark-dev libxxhash-dev libpcg-cpp-dev
SOURCES = $(shell git ls-files -co --exclude-standard '*.cpp' '*.h')

.PHONY: all deps demo test format check-format lint bench clean

all: deps
	@cmake -S . -B $(BUILD) -G Ninja > $(BUILD).log 2>&1 || { cat $(BUILD).log; exit 1; }
	@rm -f $(BUILD).log
	@cmake --build $(BUILD)

# Installs the packages only where one is missing, so that a second run needs no network.
deps:
	@dpkg -s $(PACKAGES) > /dev/null 2>&1 || { \
		apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES); }

test: all
	@ctest --test-dir $(BUILD) --output-on-failure -j6

demo: all
	@$(BUILD)/bin/zinniabarrow_demo --binaries $(BUILD)/bin

format:
	@clang-format -i $(SOURCES)

check-format:
	@clang-format --dry-run -Werror $(SOURCES)

lint: all
	@run-clang-tidy -quiet -extra-arg=-Wno-unknown-warning-option -p $(BUILD) -j 10 '(libs|app|standins|tests|bench|examples)/.*\.cpp$$' > $(BUILD)/tidy.log 2>&1 \
		|| { grep -aE 'error:|warning:' -A1 $(BUILD)/tidy.log | head -80; exit 1; }

clean:
	@rm -rf $(BUILD)
