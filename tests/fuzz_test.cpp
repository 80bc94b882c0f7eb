// Runs the fuzz targets briefly on their seed corpora and on a few mutations.
#include "tests/fuzz/driver.hpp"
#include "tests/support.hpp"

using namespace caraway;

BOOST_AUTO_TEST_SUITE(fuzz)

// Guards against decoders that crash on malformed input or accept values that the program can't
// handle. Use make fuzz for long runs.
BOOST_AUTO_TEST_CASE(decoders_tolerate_corpora_and_mutations) {
    for (const fuzz_target& target : fuzz_targets()) {
        const fuzz_result result =
            run_target(target, read_corpus("tests/fuzz/corpus", target.m_name), 300, 1);
        BOOST_CHECK_MESSAGE(result.m_fault.empty(), target.m_name << ": " << result.m_fault);
    }
}

BOOST_AUTO_TEST_SUITE_END()
