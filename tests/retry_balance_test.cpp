// Tests of retries, circuit breakers and the choice of a backend server.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <vector>

#include "base/random.hpp"
#include "decide/traffic/balance.hpp"
#include "decide/traffic/retry.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr std::size_t layers = 7;

// A chain of services in which every layer has a retry budget for its next hop. The last hop
// refuses or cuts a share of the attempts.
struct call_chain {
    random_source m_random;
    double m_bad_share;
    std::array<retry_budget, layers> m_budgets{};
    std::array<std::uint64_t, layers> m_attempts{};
    std::array<std::uint64_t, layers> m_first_attempts{};

    // Calls the hop at the given depth and returns the failure that the layer above sees.
    error_kind call(std::size_t depth, bool& failed_downstream) {
        ++m_first_attempts[depth];
        budget_deposit(m_budgets[depth]);
        attempt failed;
        failed.m_idempotent = true;
        failed.m_deadline = time_point{} + milliseconds(1'000);
        while (true) {
            ++m_attempts[depth];
            bool failed_deeper = false;
            failed.m_failure = error_kind::none;
            if (depth + 1 < layers) {
                failed.m_failure = call(depth + 1, failed_deeper);
                failed_deeper = failed.m_failure != error_kind::none;
            } else if (m_random.unit() < m_bad_share) {
                failed.m_failure =
                    m_random.below(2) == 0 ? error_kind::connection_cut : error_kind::queue_full;
            }
            failed.m_failed_downstream = failed_deeper;
            failed_downstream = failed.m_failure != error_kind::none;
            if (failed.m_failure == error_kind::none ||
                !may_retry(failed, m_budgets[depth], time_point{})) {
                return failed.m_failure;
            }
            ++failed.m_retries;
        }
    }
};

candidate server(bool own, std::uint32_t load) {
    candidate value;
    value.m_own_data_centre = own;
    value.m_load_permille = load;
    return value;
}

} // namespace

BOOST_AUTO_TEST_SUITE(retry_balance)

// Guards against retries that multiply across layers: if every call fails, seven layers that each
// retry once would make 128 attempts for one call.
BOOST_AUTO_TEST_CASE(attempts_stay_within_the_budget_seven_layers_deep) {
    const std::uint64_t first = seed_or_default();
    for (const double bad_share : {0.01, 0.3, 1.0}) {
        call_chain chain{random_source(first), bad_share};
        constexpr std::uint64_t calls = 20'000;
        for (std::uint64_t i = 0; i < calls; ++i) {
            bool failed_deeper = false;
            chain.call(0, failed_deeper);
        }
        for (std::size_t depth = 0; depth < layers; ++depth) {
            BOOST_TEST(chain.m_attempts[depth] <= chain.m_first_attempts[depth] * 11 / 10 + 10,
                       "depth " << depth);
        }
        BOOST_TEST(chain.m_attempts[layers - 1] <= calls * 11 / 10 + 10);
        // The budget must be used when retries can succeed.
        const double expected = std::min(0.1, bad_share) * calls;
        BOOST_TEST(static_cast<double>(chain.m_attempts[layers - 1] - calls) > 0.8 * expected);
    }
}

// Guards against resending a request that may have run, and against retries that cannot succeed.
BOOST_AUTO_TEST_CASE(only_safe_and_useful_retries_are_made) {
    const time_point now{};
    for (const error_info& row : error_table()) {
        for (const bool idempotent : {false, true}) {
            retry_budget budget;
            attempt failed;
            failed.m_failure = row.m_kind;
            failed.m_idempotent = idempotent;
            failed.m_deadline = now + milliseconds(100);
            const bool retried = may_retry(failed, budget, now);
            if (!idempotent && retried) {
                BOOST_TEST((row.m_outcome == outcome::not_run), row.m_name);
            }
            BOOST_TEST(budget.m_tokens == (retried ? 9.0 : 10.0), row.m_name);
        }
    }
    retry_budget budget;
    attempt refused;
    refused.m_failure = error_kind::queue_full;
    refused.m_deadline = now + milliseconds(100);
    BOOST_TEST(may_retry(refused, budget, now));
    attempt late = refused;
    late.m_deadline = now + milliseconds(1);
    BOOST_TEST(!may_retry(late, budget, now));
    attempt again = refused;
    again.m_retries = max_retries;
    BOOST_TEST(!may_retry(again, budget, now));
    budget.m_tokens = 0.5;
    BOOST_TEST(!may_retry(refused, budget, now));
}

// Guards against a share above the weight in a short move, against a periodic pattern in a caller's
// requests that keeps the new version off one route, and against calls that still go to the old
// version at full weight.
BOOST_AUTO_TEST_CASE(version_share_is_exact_and_has_no_period) {
    random_source random(seed_or_default());
    for (const std::uint32_t weight : {10U, 40U, 250U, 500U, 900U}) {
        version_share share;
        std::array<int, 25> by_position{};
        int chosen = 0;
        for (int call = 1; call <= 10'000; ++call) {
            if (choose_new_version(share, weight, random)) {
                ++chosen;
                ++by_position[static_cast<std::size_t>(call) % by_position.size()];
            }
            BOOST_REQUIRE_LE(std::abs(chosen * 1000 - call * static_cast<int>(weight)), 2'000);
        }
        // At 10 permille each position receives on average 4 of 10,000 calls.
        const int fewest = *std::min_element(by_position.begin(), by_position.end());
        BOOST_TEST((fewest > 0 || weight < 40));
        BOOST_TEST(*std::max_element(by_position.begin(), by_position.end()) <= chosen / 5);
        for (int call = 0; call < 100; ++call) {
            BOOST_REQUIRE(choose_new_version(share, 1'000, random));
        }
        BOOST_REQUIRE(!choose_new_version(share, 0, random));
    }
}

// Guards against one server that receives far more than its share, as happens with a single random
// choice.
BOOST_AUTO_TEST_CASE(two_choices_even_out_the_load) {
    random_source random(seed_or_default());
    std::vector<candidate> servers(20, server(true, 0));
    for (int call = 0; call < 2'000; ++call) {
        ++servers[choose_candidate(servers, random).value()].m_outstanding;
    }
    std::uint32_t max_outstanding = 0;
    for (const candidate& value : servers) {
        max_outstanding = std::max(max_outstanding, value.m_outstanding);
    }
    BOOST_TEST(max_outstanding <= 104U); // 100 each; a single random choice gives about 120
}

// Guards against calls that leave the own data centre without need, or that stay while its queues
// grow.
BOOST_AUTO_TEST_CASE(own_data_centre_first_until_it_nears_its_queues) {
    random_source random(seed_or_default());
    std::vector<candidate> servers{server(true, 700), server(true, 700), server(false, 0),
                                   server(false, 0)};
    const auto local_share = [&] {
        int local = 0;
        for (int i = 0; i < 200; ++i) {
            local += choose_candidate(servers, random).value() < 2 ? 1 : 0;
        }
        return local;
    };
    BOOST_TEST(local_share() == 200);
    servers[0].m_load_permille = servers[1].m_load_permille = 950;
    BOOST_TEST(local_share() == 0);
    servers[2].m_load_permille = servers[3].m_load_permille = 950;
    BOOST_TEST(local_share() == 200);
    servers[2].m_load_permille = servers[3].m_load_permille = 0;
    servers[0].m_load_age = servers[1].m_load_age = std::chrono::seconds(2);
    BOOST_TEST(local_share() == 200); // a load reported two seconds ago is ignored
    servers[0].m_usable = servers[1].m_usable = false;
    BOOST_TEST(local_share() == 0);
}

// Guards against choosing a server that has an open breaker or was already tried for this call
// while another is left, and against choosing none while one is left.
BOOST_AUTO_TEST_CASE(open_breakers_are_the_last_resort) {
    random_source random(seed_or_default());
    std::vector<candidate> servers{server(true, 0), server(false, 900)};
    servers[0].m_breaker_open = true;
    for (int i = 0; i < 50; ++i) {
        BOOST_TEST(choose_candidate(servers, random).value() == 1U);
    }
    servers[1].m_tried = true;
    BOOST_TEST(choose_candidate(servers, random).value() == 0U);
    servers[0].m_usable = false;
    BOOST_TEST(!choose_candidate(servers, random).has_value());
}

// Guards against a burst of trial calls to a server that has just recovered, a breaker that never
// closes, and one that stays open after its trial call was lost.
BOOST_AUTO_TEST_CASE(breaker_lets_one_trial_through) {
    circuit_breaker breaker;
    time_point now{};
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(!breaker_is_open(breaker, now));
        BOOST_TEST(breaker_try_call(breaker, now));
        breaker_record_failure(breaker, now);
    }
    milliseconds waited{0};
    for (int round = 0; round < 8; ++round) {
        BOOST_TEST(breaker_is_open(breaker, now));
        BOOST_TEST(!breaker_try_call(breaker, now));
        milliseconds wait{0};
        while (breaker_is_open(breaker, now)) {
            now += milliseconds(10);
            wait += milliseconds(10);
        }
        BOOST_TEST((wait >= waited && wait <= milliseconds(10'000)));
        waited = wait;
        BOOST_TEST(breaker_try_call(breaker, now));
        BOOST_TEST(!breaker_try_call(breaker, now));
        BOOST_TEST(breaker_is_open(breaker, now));
        breaker_record_failure(breaker, now);
    }
    now += milliseconds(10'000);
    BOOST_TEST(breaker_try_call(breaker, now));
    now += milliseconds(2'000); // the result of the trial call was never recorded
    BOOST_TEST(breaker_try_call(breaker, now));
    breaker_record_success(breaker);
    BOOST_TEST(!breaker_is_open(breaker, now));
    BOOST_TEST(breaker_try_call(breaker, now));
}

// Guards against split shares that deviate from their weights at any time.
BOOST_AUTO_TEST_CASE(split_is_exact_at_any_moment) {
    const std::array<std::uint32_t, 3> weights{70, 20, 10};
    weighted_round_robin choice;
    std::array<int, 3> counts{};
    for (int call = 1; call <= 1'000; ++call) {
        ++counts.at(choose_weighted(choice, weights));
        for (std::size_t part = 0; part < weights.size(); ++part) {
            BOOST_TEST(std::abs(counts.at(part) - call * weights.at(part) / 100.0) <= 1.0);
        }
    }
}

// Guards against equal shares for servers of unequal speed, and against a server that fails part of
// its calls and attracts more of them because its failures are fast.
BOOST_AUTO_TEST_CASE(slow_and_failing_servers_get_less) {
    random_source random(seed_or_default());
    std::vector<candidate> candidates(8);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].m_own_data_centre = true;
        candidates[i].m_latency = milliseconds(i < 2 ? 50 : i < 6 ? 100 : 200);
    }
    candidates[0].m_failure_permille = 400;
    std::vector<int> counts(candidates.size());
    for (int i = 0; i < 10'000; ++i) {
        ++counts[*choose_candidate(candidates, random)];
    }
    BOOST_TEST(counts[1] > 2 * counts[3]);
    BOOST_TEST(counts[3] > 2 * counts[7]);
    BOOST_TEST(counts[0] < counts[3]);
    candidates[0].m_load_age = std::chrono::seconds(30); // the report is too old
    counts.assign(counts.size(), 0);
    for (int i = 0; i < 10'000; ++i) {
        ++counts[*choose_candidate(candidates, random)];
    }
    BOOST_TEST(counts[0] > counts[7]);
}

// Guards against retries that are rejected for lack of budget although they cost no backend server
// anything, and against more retries of one call than its route allows.
BOOST_AUTO_TEST_CASE(refusals_of_nodes_take_no_budget) {
    const time_point now{};
    retry_budget empty;
    empty.m_tokens = 0;
    attempt refused;
    refused.m_failure = error_kind::queue_full;
    refused.m_deadline = now + milliseconds(100);
    refused.m_reached_server = false;
    BOOST_TEST(may_retry(refused, empty, now));
    refused.m_retries = max_refused_retries;
    BOOST_TEST(!may_retry(refused, empty, now));
    attempt shed;
    shed.m_failure = error_kind::backend_shed;
    shed.m_deadline = now + milliseconds(100);
    BOOST_TEST(!may_retry(shed, empty, now));
    retry_budget full;
    shed.m_max_retries = 0;
    BOOST_TEST(!may_retry(shed, full, now));
    shed.m_max_retries = 2;
    shed.m_retries = 1;
    BOOST_TEST(may_retry(shed, full, now));
}

// Guards against calls that each wait for a connection to a machine without power.
BOOST_AUTO_TEST_CASE(an_unreachable_server_opens_its_breaker_at_once) {
    circuit_breaker breaker;
    time_point now{std::chrono::seconds(1)};
    breaker_record_unreachable(breaker, now);
    BOOST_TEST(breaker_is_open(breaker, now));
    now += milliseconds(250);
    BOOST_TEST(!breaker_is_open(breaker, now));
    BOOST_TEST(breaker_try_call(breaker, now));
    breaker_record_success(breaker);
    BOOST_TEST(!breaker_is_open(breaker, now));
}

// Guards against budgets saved up in quiet periods that all nodes spend at once when a service
// fails. The retries of all nodes in ten seconds must stay within a fifth of the service's calls
// plus a small margin.
BOOST_AUTO_TEST_CASE(saved_budgets_stay_within_a_fifth_of_the_calls) {
    constexpr int nodes = 10;
    constexpr int calls = 60; // of each node in the window
    int retries = 0;
    for (int node = 0; node < nodes; ++node) {
        retry_budget budget = make_retry_budget(15, 3);
        for (int i = 0; i < 10'000; ++i) {
            budget_deposit(budget);
        }
        attempt failed;
        failed.m_failure = error_kind::connection_cut;
        failed.m_idempotent = true;
        failed.m_deadline = time_point{} + milliseconds(1'000);
        for (int i = 0; i < calls; ++i) {
            budget_deposit(budget);
            retries += may_retry(failed, budget, time_point{}) ? 1 : 0;
        }
    }
    BOOST_TEST(retries <= 0.2 * nodes * calls + 50);
    BOOST_TEST(retries >= 0.1 * nodes * calls);
}

// Guards against retries that exceed the budget of a service because repeated calls of another
// service call it again.
BOOST_AUTO_TEST_CASE(onward_calls_of_repeated_calls_use_the_budget) {
    retry_budget budget = make_retry_budget(10, 2);
    for (int i = 0; i < 100; ++i) {
        budget_charge(budget);
    }
    attempt failed;
    failed.m_failure = error_kind::connection_cut;
    failed.m_idempotent = true;
    failed.m_deadline = time_point(std::chrono::seconds(10));
    BOOST_TEST(!may_retry(failed, budget, time_point{}));
    // The debt is bounded by ten times the 3 tokens that can be saved: 310 calls pay it back and
    // allow a retry.
    for (int i = 0; i < 311; ++i) {
        budget_deposit(budget);
    }
    BOOST_TEST(may_retry(failed, budget, time_point{}));
}

BOOST_AUTO_TEST_SUITE_END()
