# carawaytray: build, test, demo and bench. README.md explains the targets.

# SANITIZE=thread or SANITIZE=address,undefined builds with those sanitizers of the compiler. Each set
# has its own build folder, because instrumented objects can't be linked with other objects.
SANITIZE ?=
comma    := ,
BUILD    ?= build$(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)))
CXX      := g++
CXXFLAGS ?= $(if $(SANITIZE),-O1,-O2) -g1
# The sanitizers must be notified when a coroutine switches stacks; see src/base/sanitizer_fibers.cpp.
# The thread sanitizer doesn't support fences; without them Asio synchronises with its mutexes only.
FIBER_FLAGS    := $(if $(findstring address,$(SANITIZE)),-DBOOST_USE_UCONTEXT -DBOOST_USE_ASAN) \
                  $(if $(findstring thread,$(SANITIZE)),-DBOOST_USE_UCONTEXT -DBOOST_USE_TSAN \
                    -DBOOST_ASIO_DISABLE_FENCED_BLOCK)
# Instrumented code causes false warnings about uninitialised variables.
SANITIZE_FLAGS := $(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-omit-frame-pointer \
                    -fno-sanitize-recover=undefined -Wno-maybe-uninitialized)
CXXFLAGS += -std=c++20 -Wall -Wextra -Wpedantic -Werror -Wshadow $(SANITIZE_FLAGS)
# src/base/boost_assert.cpp handles failed assertions of Boost.
CPPFLAGS += -Isrc -I. -DBOOST_ASIO_DISABLE_BOOST_COROUTINE -DBOOST_ENABLE_ASSERT_HANDLER $(FIBER_FLAGS)
LDLIBS   := -lboost_json -lboost_context -lnng -lprotobuf -lfmt -lpopt -lprometheus-cpp-core \
            -lxxhash -lzstd -lssl -lcrypto -pthread
CCACHE   := $(shell command -v ccache)
# Lets ccache share compiled objects between work trees.
export CCACHE_NOHASHDIR := 1
export CCACHE_SLOPPINESS := pch_defines,time_macros

# One static library of platform and all folders under src except those of the programs.
LIB_SRC  := $(wildcard src/base/*.cpp src/config/*.cpp src/ctl/*.cpp src/decide/*/*.cpp src/store/*.cpp \
              src/http/*.cpp src/peer/*.cpp src/observe/*.cpp src/traffic/*.cpp src/node/*.cpp platform/*.cpp)
GEN_SRC  := $(wildcard src/peer/gen/*.cc)
LIB_OBJ  := $(LIB_SRC:%.cpp=$(BUILD)/%.o) $(GEN_SRC:%.cc=$(BUILD)/%.o)
LIB      := $(BUILD)/libcaraway.a

# Programs: each has one folder under src or one file under standins.
PROGRAMS := $(patsubst src/%/main.cpp,%,$(wildcard src/*/main.cpp))
STANDINS := $(patsubst standins/%.cpp,%,$(wildcard standins/*_main.cpp))
BINS     := $(PROGRAMS:%=$(BUILD)/bin/%) $(STANDINS:%_main=$(BUILD)/bin/%)
STANDIN_OBJ := $(patsubst %.cpp,$(BUILD)/%.o,$(filter-out %_main.cpp,$(wildcard standins/*.cpp)))

# Tests: all tests/*.cpp and the fuzz targets form one Boost.Test program.
FUZZ_SRC := tests/fuzz/targets.cpp tests/fuzz/answer_target.cpp tests/fuzz/driver.cpp
TEST_SRC := $(wildcard tests/*.cpp) $(FUZZ_SRC)
TEST_OBJ := $(TEST_SRC:%.cpp=$(BUILD)/%.o)
BENCH_BINS := $(patsubst bench/%.cpp,$(BUILD)/bin/%,$(wildcard bench/*.cpp))

PACKAGES := g++ make ccache pkg-config libboost1.81-dev libboost-json1.81-dev \
            libboost-test1.81-dev libboost-context1.81-dev libboost-coroutine1.81-dev \
            libboost-system1.81-dev libnng-dev libprotobuf-dev protobuf-compiler \
            libtomlplusplus-dev libpopt-dev libfmt-dev prometheus-cpp-dev libxxhash-dev \
            libzstd-dev libssl-dev librapidcheck-dev gnuplot-nox clang-format clang-tidy python3

# Regenerates the committed protobuf code after a change of peer.proto.
proto:
	cd src/peer/gen && protoc --cpp_out=. peer.proto

.DEFAULT_GOAL := all
.PHONY: all proto packages test unit fuzz libfuzzer integration soak signature demo bench check format tidy \
        clean
.SECONDARY:

all: $(BINS) $(BENCH_BINS)

packages:
	tools/install_packages $(PACKAGES)

$(BUILD)/%.o: %.cpp
	@mkdir -p $(@D)
	$(CCACHE) $(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c $< -o $@

# Generated code is committed and compiled without the project's warnings.
$(BUILD)/src/peer/gen/%.o: src/peer/gen/%.cc
	@mkdir -p $(@D)
	$(CCACHE) $(CXX) $(CPPFLAGS) -O2 -std=c++20 -w $(SANITIZE_FLAGS) -MMD -MP -c $< -o $@

$(LIB): $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^

$(PROGRAMS:%=$(BUILD)/bin/%): $(BUILD)/bin/%: $(BUILD)/src/%/main.o $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(filter-out $(LIB),$^) $(LIB) $(SANITIZE_FLAGS) $(LDLIBS) -o $@

$(STANDINS:%_main=$(BUILD)/bin/%): $(BUILD)/bin/%: $(BUILD)/standins/%_main.o $(STANDIN_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(filter-out $(LIB),$^) $(LIB) $(SANITIZE_FLAGS) $(LDLIBS) -o $@

$(BENCH_BINS): $(BUILD)/bin/%: $(BUILD)/bench/%.o $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(filter-out $(LIB),$^) $(LIB) $(SANITIZE_FLAGS) $(LDLIBS) -o $@

$(BUILD)/bin/unit_tests: $(TEST_OBJ) $(LIB)
	@mkdir -p $(@D)
	$(CXX) $(TEST_OBJ) $(LIB) $(SANITIZE_FLAGS) $(LDLIBS) -lboost_unit_test_framework -o $@

test: packages
	$(MAKE) -j$$(nproc) unit integration

unit: $(BUILD)/bin/unit_tests
	tools/run_unit_tests $(BUILD)/bin/unit_tests

# Fuzzes every decoder of untrusted input; the same seed generates the same inputs.
FUZZ_MUTATIONS ?= 10000
FUZZ_SEED      ?= 1
fuzz: $(BUILD)/bin/fuzz
	$< tests/fuzz/corpus $(FUZZ_MUTATIONS) $(FUZZ_SEED)

$(BUILD)/bin/fuzz: $(FUZZ_SRC:%.cpp=$(BUILD)/%.o) $(BUILD)/tests/fuzz/fuzz_main.o $(LIB)
	@mkdir -p $(@D)
	$(CXX) $^ $(SANITIZE_FLAGS) $(LDLIBS) -o $@

# Builds the fuzz targets with clang's libFuzzer, if installed. The program runs the target that the
# environment variable FUZZ_TARGET names.
LIBFUZZER_SRC := $(wildcard src/base/*.cpp src/config/*.cpp src/decide/*/*.cpp) src/ctl/audit.cpp \
                 src/ctl/records.cpp src/observe/log.cpp src/observe/span.cpp src/peer/wire.cpp \
                 src/peer/kept_items_wire.cpp src/store/store_json.cpp src/http/message.cpp \
                 src/http/answer_reader.cpp src/http/server_answer.cpp tests/fuzz/targets.cpp \
                 tests/fuzz/answer_target.cpp tests/fuzz/libfuzzer_main.cpp
libfuzzer:
	$(MAKE) BUILD=build-libfuzzer CXX=clang++ build-libfuzzer/bin/libfuzzer \
	  CXXFLAGS="-O1 -g1 -std=c++20 -fsanitize=fuzzer-no-link,address,undefined"

build-libfuzzer/bin/libfuzzer: $(LIBFUZZER_SRC:%.cpp=build-libfuzzer/%.o) \
                               build-libfuzzer/src/peer/gen/peer.pb.o
	@mkdir -p $(@D)
	$(CXX) $^ -fsanitize=fuzzer,address,undefined $(LDLIBS) -o $@

integration: all
	@mkdir -p $(BUILD)/bin
	tools/run_integration $(BUILD)/bin

# Runs the fault soaks with the seeds in SEED, which is a number, a list such as 4,7 or a range such
# as 1..3 (the default). FRESH=N uses N random seeds instead.
SEED    ?= 1..3
SECONDS ?= 12
FRESH   ?= 0
soak: all
	python3 tests/soak/soak.py $(BUILD)/bin --seeds $(SEED) --fresh $(FRESH) --seconds $(SECONDS)
	python3 tests/soak/platform_soak.py $(BUILD)/bin --seeds $(SEED) --fresh $(FRESH) --seconds $(SECONDS)

# Replays the recorded traces; a change that preserves every decision keeps the signature.
signature: $(BUILD)/bin/replay
	$(BUILD)/bin/replay tests/traces

demo: packages
	$(MAKE) -j$$(nproc) all
	tools/demo $(BUILD)/bin

bench: packages
	$(MAKE) -j$$(nproc) all
	tools/bench $(BUILD)/bin

FORMAT_FILES := $(wildcard src/*/*.cpp src/*/*.hpp src/decide/*/*.cpp src/decide/*/*.hpp platform/*.cpp \
                  platform/*.hpp standins/*.cpp standins/*.hpp tests/*.cpp tests/*.hpp tests/fuzz/*.cpp tests/fuzz/*.hpp bench/*.cpp bench/*.hpp)

check: format tidy

format:
	clang-format --dry-run -Werror $(FORMAT_FILES)

TIDY_STAMPS := $(patsubst %.cpp,$(BUILD)/tidy/%.ok,$(filter %.cpp,$(FORMAT_FILES)))
tidy: $(TIDY_STAMPS)

# Lints a file again when it or an included header has changed.
$(BUILD)/tidy/%.ok: %.cpp .clang-tidy $(BUILD)/%.o
	@mkdir -p $(@D)
	clang-tidy --quiet $< -- $(CPPFLAGS) -std=c++20 2>/dev/null
	@touch $@

clean:
	rm -rf $(BUILD)

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
