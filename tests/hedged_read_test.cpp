// Tests of the order of repeated reads.
#include "decide/configuration/hedged_read.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr time_point start{std::chrono::seconds(100)};
constexpr milliseconds expected{500};

} // namespace

BOOST_AUTO_TEST_SUITE(hedged_read)

// Guards against a read without a reply that holds back all later ones.
BOOST_AUTO_TEST_CASE(an_overdue_read_holds_nothing_back) {
    hedged_reads reads;
    BOOST_TEST(may_send_read(reads, start));
    BOOST_TEST(!is_read_overdue(reads, start));
    const std::uint64_t lost = begin_read(reads, expected, start);
    BOOST_TEST(!may_send_read(reads, start + expected - milliseconds(1)));
    BOOST_TEST(may_send_read(reads, start + expected));
    BOOST_TEST(is_read_overdue(reads, start + expected));
    const std::uint64_t next = begin_read(reads, expected, start + expected);
    BOOST_TEST(!may_send_read(reads, start + expected));
    BOOST_TEST(end_read(reads, next, true));
    BOOST_TEST(may_send_read(reads, start + expected));
    // The lost read fails at its timeout, which says nothing about the store by then.
    BOOST_TEST(!end_read(reads, lost, false));
    BOOST_TEST(may_send_read(reads, start + expected));
}

// Guards against an old reply that replaces newer data, and against reads that never succeed on a
// store whose replies all come late.
BOOST_AUTO_TEST_CASE(late_replies_count_until_a_later_read_succeeds) {
    hedged_reads reads;
    const std::uint64_t first = begin_read(reads, expected, start);
    const std::uint64_t second = begin_read(reads, expected, start + expected);
    const std::uint64_t third = begin_read(reads, expected, start + 2 * expected);
    BOOST_TEST(end_read(reads, second, false));
    BOOST_TEST(end_read(reads, first, true));
    BOOST_TEST(!may_send_read(reads, start + 2 * expected));
    BOOST_TEST(end_read(reads, third, true));
    BOOST_TEST(may_send_read(reads, start + 2 * expected));
}

BOOST_AUTO_TEST_SUITE_END()
