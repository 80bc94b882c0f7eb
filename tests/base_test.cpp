// Tests of the error table and the random number generator.
#include <set>
#include <string_view>

#include "base/error.hpp"
#include "base/hash.hpp"
#include "base/random.hpp"
#include "tests/support.hpp"

using namespace caraway;

BOOST_AUTO_TEST_SUITE(base)

// Guards against a row in the wrong place, which would report the properties of another error kind.
BOOST_AUTO_TEST_CASE(error_table_is_total_and_unique) {
    std::set<std::string_view> names;
    std::size_t index = 0;
    for (const error_info& row : error_table()) {
        BOOST_TEST(static_cast<std::size_t>(row.m_kind) == index++);
        BOOST_TEST(names.insert(row.m_name).second);
        BOOST_TEST((error_kind_from_name(row.m_name) == row.m_kind));
    }
}

// Guards against retrying a call that may have run.
BOOST_AUTO_TEST_CASE(only_not_run_kinds_are_retried_elsewhere) {
    for (const error_info& row : error_table()) {
        if (row.m_retry_elsewhere) {
            BOOST_TEST((row.m_outcome == outcome::not_run));
        }
    }
}

BOOST_AUTO_TEST_CASE(outcome_names_round_trip) {
    for (outcome value :
         {outcome::answered, outcome::not_run, outcome::unknown, outcome::deadline}) {
        BOOST_TEST((outcome_from_name(outcome_name(value)) == value));
    }
}

// Guards against a generator whose sequence can't be replayed from its seed.
BOOST_AUTO_TEST_CASE(random_source_replays_from_its_seed) {
    random_source first(7);
    random_source second(7);
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(first() == second());
    }
}

BOOST_AUTO_TEST_SUITE_END()
