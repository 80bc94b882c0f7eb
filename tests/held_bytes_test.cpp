// Tests of the choice of connections to reject when a node holds too many bytes, of the account and
// of bodies held in pieces.
#include <atomic>

#include "decide/traffic/held_bytes.hpp"
#include "http/body_pieces.hpp"
#include "tests/support.hpp"
#include "traffic/byte_budget.hpp"

using namespace caraway;

namespace {

constexpr std::uint64_t mb = 1'000'000;
constexpr held_bytes_limits limits{80 * mb, 70 * mb, 70 * mb};
constexpr time_point start{std::chrono::seconds(100)};

bytes_holder holder(std::uint64_t bytes, milliseconds without_progress, std::uint64_t address = 1,
                    bool rejectable = true) {
    return {bytes, address, without_progress, rejectable};
}

} // namespace

BOOST_AUTO_TEST_SUITE(held_bytes)

// Guards against a process that runs out of memory because 40 clients send bodies of 12 MB that
// stop before their end, and against the rejection of requests that still fit.
BOOST_AUTO_TEST_CASE(stalled_bodies_are_rejected_until_the_rest_fits) {
    std::vector<bytes_holder> holders;
    holders.reserve(40);
    for (int i = 0; i < 40; ++i) {
        holders.push_back(holder(12 * mb, milliseconds(100 + i), static_cast<std::uint64_t>(i)));
    }
    const auto rejections = choose_rejections(holders, 480 * mb, limits);
    BOOST_REQUIRE(rejections.size() == 34U);
    BOOST_TEST(rejections.front().m_holder == 39U);
    BOOST_TEST((rejections.front().m_cause == rejection_cause::total_bytes));
    BOOST_TEST(choose_rejections(std::span(holders).first(6), 72 * mb, limits).empty());
}

// Guards against the rejection of a request that makes progress in place of one that has stopped,
// and of a small ordinary request while others hold nearly everything.
BOOST_AUTO_TEST_CASE(small_and_progressing_requests_are_kept) {
    const std::vector<bytes_holder> holders{
        holder(min_rejected_bytes - 1, milliseconds(60'000)), holder(40 * mb, milliseconds(1), 2),
        holder(12 * mb, milliseconds(2'000), 3), holder(30 * mb, milliseconds(1), 4)};
    const auto rejections = choose_rejections(holders, 85 * mb, limits);
    BOOST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST(rejections.front().m_holder == 2U);
}

// Guards against an untruthful refusal of a request that has been passed on.
BOOST_AUTO_TEST_CASE(running_requests_are_not_rejected) {
    const std::vector<bytes_holder> holders{holder(60 * mb, milliseconds(5'000), 1, false),
                                            holder(1 * mb, milliseconds(0), 2)};
    const auto rejections = choose_rejections(holders, 90 * mb, limits);
    BOOST_REQUIRE(rejections.size() == 1U);
    BOOST_TEST(rejections.front().m_holder == 1U);
}

// Guards against one connection or one address that takes the memory meant for all others.
BOOST_AUTO_TEST_CASE(connections_and_addresses_have_a_share) {
    const std::vector<bytes_holder> large{holder(71 * mb, milliseconds(0))};
    const auto of_connection = choose_rejections(large, 71 * mb, limits);
    BOOST_REQUIRE(of_connection.size() == 1U);
    BOOST_TEST((of_connection.front().m_cause == rejection_cause::connection_bytes));

    std::vector<bytes_holder> holders(8, holder(9 * mb, milliseconds(0), 7));
    holders.push_back(holder(2 * mb, milliseconds(50), 8));
    const auto of_address = choose_rejections(holders, 74 * mb, limits);
    BOOST_REQUIRE(of_address.size() == 1U);
    BOOST_TEST((of_address.front().m_cause == rejection_cause::address_bytes));
    BOOST_TEST(of_address.front().m_holder < 8U);
}

// Guards against a body of 64 MiB that does not fit on an instance of 160 MB.
BOOST_AUTO_TEST_CASE(largest_body_fits_into_the_smallest_instance) {
    const held_bytes_limits derived = limits_for_total(held_bytes_for_memory(160 * mb));
    body_pieces body;
    const std::string part(1U << 20U, 'x');
    for (int i = 0; i < 64; ++i) {
        body.append(part);
    }
    BOOST_TEST(body.size() == std::size_t{64} << 20U);
    const std::vector<bytes_holder> holders{holder(body.held_bytes() + (64U << 10U), {})};
    BOOST_TEST(choose_rejections(holders, holders[0].m_bytes, derived).empty());
}

// Guards against a body that is sent on with other bytes than were received, for sizes around
// those of the pieces.
BOOST_AUTO_TEST_CASE(pieces_keep_the_content) {
    for (const std::size_t size :
         {std::size_t{0}, std::size_t{1}, body_piece_bytes - 1, body_piece_bytes,
          body_piece_bytes + 1, 3 * body_piece_bytes, 3 * large_piece_bytes + 5}) {
        for (const std::size_t step : {std::size_t{777}, body_piece_bytes, 5 * body_piece_bytes}) {
            std::string content(size, '\0');
            for (std::size_t i = 0; i < size; ++i) {
                content[i] = static_cast<char>(i * 31 % 251);
            }
            body_pieces body;
            for (std::size_t i = 0; i < size; i += step) {
                body.append(std::string_view(content).substr(i, step));
            }
            std::string joined;
            for (std::size_t i = 0; i < body.piece_count(); ++i) {
                joined += body.piece(i);
            }
            BOOST_TEST((joined == content));
            BOOST_TEST(body.size() == size);
            BOOST_TEST(body.held_bytes() <= size + body_piece_bytes);
        }
    }
}

// Guards against heads and bodies that take forever, and against the closing of a slow caller that
// stays inside the limits.
BOOST_AUTO_TEST_CASE(deadlines_follow_progress) {
    const receive_limits times{milliseconds(3'000), milliseconds(15'000), 4'096};
    receive_progress progress{start, start, 10, false};
    progress.m_progressed_at = start + milliseconds(2'900); // single bytes of a head
    BOOST_TEST((receive_deadline(progress, times) == start + milliseconds(3'000)));
    progress.m_head_complete = true;
    BOOST_TEST((receive_deadline(progress, times) < start + milliseconds(15'100)));
    // 100 KB/s for 20 s, then a pause.
    progress.m_bytes = 2 * mb;
    progress.m_progressed_at = start + milliseconds(20'000);
    BOOST_TEST((receive_deadline(progress, times) == start + milliseconds(35'000)));
    // One byte a second.
    progress.m_bytes = 20;
    BOOST_TEST((receive_deadline(progress, times) < start + milliseconds(15'100)));
}

// Guards against an account that drifts, a connection that is rejected twice, and a small request
// that is rejected for the bytes of others.
BOOST_AUTO_TEST_CASE(budget_rejects_the_holder_and_forgets_its_bytes) {
    const system_clock_source clock;
    byte_budget budget(limits_for_total(8 * mb), clock);
    int rejected_large = 0;
    int rejected_small = 0;
    {
        const auto large =
            std::make_shared<byte_share>(budget, "10.0.0.1", [&] { ++rejected_large; });
        const auto small =
            std::make_shared<byte_share>(budget, "10.0.0.2", [&] { ++rejected_small; });
        const rejectable_scope large_scope(*large, clock.now());
        const rejectable_scope small_scope(*small, clock.now());
        byte_charge body(large);
        BOOST_TEST(body.resize(6 * mb));
        byte_charge request(small);
        BOOST_TEST(request.resize(1'000));
        BOOST_TEST(budget.held_bytes() == 6 * mb + 1'000);
        BOOST_TEST(!body.resize(9 * mb));
        BOOST_TEST(!body.resize(10 * mb));
        BOOST_TEST(request.resize(2'000));
        BOOST_TEST(rejected_large == 1);
        BOOST_TEST(rejected_small == 0);
        BOOST_TEST(budget.rejections(rejection_cause::connection_bytes) == 1U);
        byte_charge moved(std::move(body));
    }
    BOOST_TEST(budget.held_bytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
