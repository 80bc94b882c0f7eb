// Tests of the pacing of large answers on a slow link that they share with small answers.
#include <algorithm>
#include <vector>

#include "decide/traffic/link_pacing.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr double link_mbps = 16;
constexpr double link_bytes_per_s = link_mbps * 125'000;
constexpr std::size_t large_bytes = 90'000;
constexpr std::size_t small_bytes = 1'000;

// Returns the longest time that a small answer takes through a first-in, first-out link of 16
// Mbit/s to which large answers of 90 kB come in bursts, five at a time. They need 60% of the link.
duration longest_small_answer(double paced_link_mbps) {
    struct piece {
        time_point m_at;
        std::size_t m_bytes;
        bool m_small;
    };
    std::vector<piece> pieces;
    link_pacing pacing = make_link_pacing(paced_link_mbps);
    const time_point start{std::chrono::seconds(10)};
    for (int burst = 0; burst < 10; ++burst) {
        const time_point at = start + burst * milliseconds(375);
        for (int i = 0; i < 5; ++i) {
            const time_point first = schedule_answer(pacing, large_bytes, at);
            for (std::size_t sent = 0; sent < large_bytes; sent += paced_chunk_bytes) {
                pieces.push_back({chunk_time(pacing, first, sent),
                                  std::min(paced_chunk_bytes, large_bytes - sent), false});
            }
        }
    }
    for (int i = 0; i < 300; ++i) {
        pieces.push_back({start + i * milliseconds(12), small_bytes, true});
    }
    std::stable_sort(pieces.begin(), pieces.end(),
                     [](const piece& a, const piece& b) { return a.m_at < b.m_at; });
    duration longest{};
    time_point free_at;
    for (const piece& sent : pieces) {
        const std::chrono::duration<double> time(static_cast<double>(sent.m_bytes) /
                                                 link_bytes_per_s);
        free_at = std::max(free_at, sent.m_at) + std::chrono::duration_cast<duration>(time);
        longest = sent.m_small ? std::max(longest, free_at - sent.m_at) : longest;
    }
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(link_pacing_decisions)

// Guards against small answers that wait behind downloads: on a slow link they were late by some
// hundred milliseconds although the link was used by half.
BOOST_AUTO_TEST_CASE(small_answers_wait_for_a_chunk_at_most) {
    BOOST_TEST((longest_small_answer(0) > milliseconds(100)));
    BOOST_TEST((longest_small_answer(link_mbps) < milliseconds(15)));
}

// Guards against running a call whose large answer can't be sent in time.
BOOST_AUTO_TEST_CASE(the_expected_transfer_counts_what_is_due) {
    link_pacing pacing = make_link_pacing(link_mbps);
    const time_point now{std::chrono::seconds(10)};
    BOOST_TEST((expected_transfer(pacing, now) == duration{}));
    for (int i = 0; i < 10; ++i) {
        schedule_answer(pacing, large_bytes, now);
    }
    pacing.m_running_calls = 5;
    // 16 answers of 90 kB at 1.7 MB/s.
    BOOST_TEST((expected_transfer(pacing, now) > milliseconds(800)));
    BOOST_TEST((expected_transfer(pacing, now) < milliseconds(900)));
    // The answers that were sent meanwhile no longer count.
    BOOST_TEST((expected_transfer(pacing, now + std::chrono::seconds(5)) < milliseconds(350)));
}

// Guards against pacing where the rate of the link isn't known.
BOOST_AUTO_TEST_CASE(an_unknown_link_is_not_paced) {
    link_pacing pacing = make_link_pacing(0);
    const time_point now{std::chrono::seconds(10)};
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST((schedule_answer(pacing, large_bytes, now) == now));
    }
    BOOST_TEST((expected_transfer(pacing, now) == duration{}));
}

BOOST_AUTO_TEST_SUITE_END()
