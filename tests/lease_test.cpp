// Tests the lease keeper with holders that are paused, and with a store that loses requests and
// replies, delays them beyond the client's timeout, and is unavailable for a while.
#include <map>
#include <string>
#include <vector>

#include "decide/leases/lease.hpp"
#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr milliseconds period{5'000};
constexpr milliseconds client_timeout{2'000};

// Models one key and its leases as the store described in docs/design.md keeps them.
struct lease_store {
    std::map<std::string, time_point> m_leases; // expiry time by lease id
    std::string m_value;
    std::string m_key_lease; // empty if the key is absent
    std::uint64_t m_revision = 0;
    std::uint64_t m_next_lease = 1;
};

// Ends expired leases and removes the key with its lease.
void expire(lease_store& store, time_point now) {
    std::erase_if(store.m_leases, [now](const auto& lease) { return lease.second <= now; });
    if (!store.m_key_lease.empty() && !store.m_leases.contains(store.m_key_lease)) {
        store.m_key_lease.clear();
        ++store.m_revision;
    }
}

// A request as it was when it was sent.
struct sent_request {
    lease_request m_kind = lease_request::none;
    std::string m_lease;
    std::string m_value;
};

// Executes a request at the store.
lease_reply handle_request(lease_store& store, const sent_request& request, time_point now) {
    expire(store, now);
    lease_reply reply;
    const bool lease_known = store.m_leases.contains(request.m_lease);
    switch (request.m_kind) {
    case lease_request::create:
        reply.m_lease = std::to_string(store.m_next_lease++);
        store.m_leases[reply.m_lease] = now + period;
        break;
    case lease_request::claim:
        if (!lease_known) {
            reply.m_kind = error_kind::store_lease_lost;
        } else if (!store.m_key_lease.empty()) {
            reply.m_kind = error_kind::store_conflict;
        } else {
            store.m_key_lease = request.m_lease;
            store.m_value = request.m_value;
            reply.m_revision = ++store.m_revision;
        }
        break;
    case lease_request::read_back:
        if (store.m_key_lease.empty()) {
            reply.m_kind = error_kind::store_not_found;
        } else {
            reply.m_value = store.m_value;
            reply.m_revision = store.m_revision;
        }
        break;
    case lease_request::renew:
        if (lease_known) {
            store.m_leases[request.m_lease] = now + period;
        } else {
            reply.m_kind = error_kind::store_lease_lost;
        }
        break;
    case lease_request::release:
        store.m_leases.erase(request.m_lease);
        expire(store, now);
        break;
    case lease_request::none:
        break;
    }
    return reply;
}

struct candidate {
    lease_keeper m_keeper;
    bool m_wanted = true;
    time_point m_paused_until;
    std::uint64_t m_request = 0; // number of the pending request
};

struct lease_simulation {
    lease_store m_store;
    std::vector<candidate> m_candidates;
    random_source m_random{1};
    time_point m_now{std::chrono::hours(1)};
    time_point m_outage_until; // the store is unavailable until then
    double m_loss_probability = 0.1;
    double m_late_probability = 0.1;
    std::multimap<time_point, std::function<void(lease_simulation&)>> m_events;
    std::size_t m_max_holders = 0;
};

// Delivers a reply, after the pause if the process is paused. Only the first reply to a request
// counts, since the client gives up after its timeout.
void deliver_reply(lease_simulation& simulation, std::size_t index, std::uint64_t request,
                   const lease_reply& reply) {
    candidate& target = simulation.m_candidates[index];
    if (simulation.m_now < target.m_paused_until) {
        simulation.m_events.emplace(target.m_paused_until,
                                    [index, request, reply](lease_simulation& later) {
                                        deliver_reply(later, index, request, reply);
                                    });
        return;
    }
    if (target.m_request != request) {
        return;
    }
    ++target.m_request;
    lease_receive(target.m_keeper, reply, simulation.m_now);
}

// Sends a request with random delays and losses of the request and its reply.
void send(lease_simulation& simulation, std::size_t index, lease_request kind) {
    const candidate& sender = simulation.m_candidates[index];
    const std::uint64_t request = sender.m_request;
    const sent_request sent{kind, sender.m_keeper.m_lease, lease_claim_value(sender.m_keeper)};
    random_source& random = simulation.m_random;
    lease_reply timeout_reply;
    timeout_reply.m_kind = error_kind::store_outcome_unknown;
    simulation.m_events.emplace(simulation.m_now + client_timeout,
                                [index, request, timeout_reply](lease_simulation& later) {
                                    deliver_reply(later, index, request, timeout_reply);
                                });
    // A late request takes effect after the client's timeout.
    milliseconds request_delay(random.below(20));
    if (random.unit() < simulation.m_late_probability) {
        request_delay = milliseconds(random.below(9'000));
    }
    const milliseconds reply_delay(random.below(20));
    const bool request_lost = random.unit() < simulation.m_loss_probability / 2;
    const bool reply_lost = random.unit() < simulation.m_loss_probability / 2;
    if (request_lost) {
        return;
    }
    simulation.m_events.emplace(
        simulation.m_now + request_delay,
        [index, request, sent, reply_delay, reply_lost](lease_simulation& later) {
            if (later.m_now < later.m_outage_until) {
                return;
            }
            const lease_reply reply = handle_request(later.m_store, sent, later.m_now);
            if (!reply_lost) {
                later.m_events.emplace(later.m_now + reply_delay,
                                       [index, request, reply](lease_simulation& last) {
                                           deliver_reply(last, index, request, reply);
                                       });
            }
        });
}

// Runs in steps of 10 ms and counts at every step how many processes believe that they hold the
// lease. A paused process counts with what it would believe if it resumed now.
void run_simulation(lease_simulation& simulation, milliseconds time) {
    const time_point end = simulation.m_now + time;
    for (; simulation.m_now < end; simulation.m_now += milliseconds(10)) {
        while (!simulation.m_events.empty() &&
               simulation.m_events.begin()->first <= simulation.m_now) {
            const auto event = std::move(simulation.m_events.begin()->second);
            simulation.m_events.erase(simulation.m_events.begin());
            event(simulation);
        }
        std::size_t holders = 0;
        for (std::size_t index = 0; index < simulation.m_candidates.size(); ++index) {
            candidate& current = simulation.m_candidates[index];
            if (simulation.m_now >= current.m_paused_until) {
                const lease_request request =
                    lease_tick(current.m_keeper, current.m_wanted, simulation.m_now);
                if (request != lease_request::none) {
                    send(simulation, index, request);
                }
            }
            holders += lease_held(current.m_keeper, simulation.m_now) ? 1 : 0;
        }
        simulation.m_max_holders = std::max(simulation.m_max_holders, holders);
    }
}

lease_simulation make_simulation(std::size_t count, std::uint64_t seed) {
    lease_simulation simulation;
    simulation.m_random = random_source(seed);
    for (std::size_t index = 0; index < count; ++index) {
        candidate added;
        // All candidates write the same value, so only the store lease distinguishes their claims.
        added.m_keeper =
            make_lease_keeper("caraway/lease/accepter", "holder", period, simulation.m_random());
        simulation.m_candidates.push_back(std::move(added));
    }
    return simulation;
}

// Lets a single keeper acquire the lease from a store without faults.
lease_keeper held_keeper(lease_store& store, time_point& now) {
    lease_keeper keeper = make_lease_keeper("key", "holder", period, 1);
    while (!lease_held(keeper, now)) {
        const lease_request request = lease_tick(keeper, true, now);
        if (request != lease_request::none) {
            lease_receive(keeper, handle_request(store, {request, keeper.m_lease, "holder"}, now),
                          now);
        }
        now += milliseconds(10);
    }
    return keeper;
}

} // namespace

BOOST_AUTO_TEST_SUITE(lease)

// Guards against two simultaneous holders after lost replies, late requests, pauses, store outages
// and releases, and against a lease that nobody holds once the faults are over.
BOOST_AUTO_TEST_CASE(never_two_holders_under_any_schedule) {
    for (const std::uint64_t seed : schedule_seeds(3'000)) {
        lease_simulation simulation = make_simulation(3, seed);
        for (int fault = 0; fault < 12; ++fault) {
            run_simulation(simulation, milliseconds(simulation.m_random.below(4'000)));
            candidate& chosen = simulation.m_candidates[simulation.m_random.below(3)];
            switch (simulation.m_random.below(5)) {
            case 4:
                // The candidate stops wanting the lease and soon wants it again, possibly while a
                // request is pending.
                chosen.m_wanted = false;
                run_simulation(simulation, milliseconds(10 * simulation.m_random.below(4)));
                chosen.m_wanted = true;
                break;
            case 0:
                chosen.m_paused_until =
                    simulation.m_now + milliseconds(simulation.m_random.below(12'000));
                break;
            case 1:
                simulation.m_outage_until =
                    simulation.m_now + milliseconds(simulation.m_random.below(8'000));
                break;
            case 2:
                chosen.m_wanted = !chosen.m_wanted;
                break;
            default:
                break;
            }
        }
        BOOST_TEST(simulation.m_max_holders <= 1U, "CARAWAY_SEED=" << seed);
        simulation.m_loss_probability = 0;
        simulation.m_late_probability = 0;
        for (candidate& current : simulation.m_candidates) {
            current.m_wanted = true;
        }
        run_simulation(simulation, milliseconds(40'000));
        std::size_t holders = 0;
        for (const candidate& current : simulation.m_candidates) {
            holders += lease_held(current.m_keeper, simulation.m_now) ? 1 : 0;
        }
        BOOST_TEST(holders == 1U, "CARAWAY_SEED=" << seed);
        BOOST_TEST(simulation.m_max_holders <= 1U, "CARAWAY_SEED=" << seed);
    }
}

// Guards against giving up a lease because of a store error.
BOOST_AUTO_TEST_CASE(store_error_is_not_a_lost_lease) {
    for (const error_kind kind : {error_kind::store_unreachable, error_kind::store_outcome_unknown,
                                  error_kind::store_throttled}) {
        lease_store store;
        time_point now{std::chrono::hours(1)};
        lease_keeper keeper = held_keeper(store, now);
        const std::string lease = keeper.m_lease;
        const time_point outage_until = now + milliseconds(3'000);
        int errors = 0;
        for (; now < outage_until + milliseconds(5'000); now += milliseconds(10)) {
            const lease_request request = lease_tick(keeper, true, now);
            if (request != lease_request::none) {
                lease_reply reply;
                reply.m_kind = kind;
                errors += now < outage_until ? 1 : 0;
                lease_receive(keeper,
                              now < outage_until ? reply
                                                 : handle_request(store, {request, lease, ""}, now),
                              now);
            }
            BOOST_REQUIRE(lease_held(keeper, now));
        }
        BOOST_TEST(errors > 0);
        BOOST_TEST(keeper.m_lease == lease);
    }
}

// Guards against a holder that waits before it claims its lease again after a store outage in which
// the lease ended. Such a wait made a move miss its deadline of 40 s.
BOOST_AUTO_TEST_CASE(holder_claims_again_at_once_after_an_outage) {
    lease_store store;
    time_point now{std::chrono::hours(1)};
    lease_keeper keeper = held_keeper(store, now);
    const time_point outage_until = now + milliseconds(14'000);
    for (; now < outage_until; now += milliseconds(10)) {
        lease_reply reply;
        reply.m_kind = error_kind::store_unreachable;
        if (lease_tick(keeper, true, now) != lease_request::none) {
            lease_receive(keeper, reply, now);
        }
    }
    BOOST_TEST(!lease_held(keeper, now));
    while (!lease_held(keeper, now) && now < outage_until + milliseconds(5'000)) {
        const lease_request request = lease_tick(keeper, true, now);
        if (request != lease_request::none) {
            lease_receive(
                keeper,
                handle_request(store, {request, keeper.m_lease, lease_claim_value(keeper)}, now),
                now);
        }
        now += milliseconds(10);
    }
    BOOST_TEST(std::chrono::duration_cast<milliseconds>(now - outage_until).count() <= 1'100);
}

// Guards against a renewal that is pending during the release and makes the lease held again.
BOOST_AUTO_TEST_CASE(late_renewal_does_not_revive_a_released_lease) {
    lease_store store;
    time_point now{std::chrono::hours(1)};
    lease_keeper keeper = held_keeper(store, now);
    const std::string lease = keeper.m_lease;
    while (lease_tick(keeper, true, now) != lease_request::renew) {
        now += milliseconds(10);
    }
    BOOST_TEST((lease_tick(keeper, false, now) == lease_request::none));
    BOOST_TEST(!lease_held(keeper, now));
    const lease_reply renewed = handle_request(store, {lease_request::renew, lease, ""}, now);
    lease_receive(keeper, renewed, now);
    BOOST_TEST(!lease_held(keeper, now));
    // Wanted again before the release was sent: the release still comes first.
    BOOST_TEST((lease_tick(keeper, false, now) == lease_request::release));
    BOOST_TEST((lease_tick(keeper, true, now) == lease_request::none));
    BOOST_TEST(!lease_held(keeper, now));
    lease_receive(keeper, handle_request(store, {lease_request::release, lease, ""}, now), now);
    BOOST_TEST(store.m_key_lease.empty());
    // A duplicate of the renewal's reply arrives last.
    lease_receive(keeper, renewed, now);
    BOOST_TEST(!lease_held(keeper, now));
    BOOST_TEST(keeper.m_lease.empty());
}

// Two keepers of one lease at a store that is restored from a copy, each with the era it knows.
struct restored_store_run {
    lease_store m_store;
    lease_store m_copy;
    std::uint64_t m_era = 0;
    std::vector<lease_keeper> m_keepers;
    std::vector<std::uint64_t> m_known_era{0, 0};
    time_point m_now{std::chrono::hours(1)};

    restored_store_run() {
        for (const char* name : {"first", "second"}) {
            m_keepers.push_back(make_lease_keeper("key", name, period, m_keepers.size() + 1));
        }
    }

    bool held(std::size_t index) const { return lease_held(m_keepers[index], m_now); }

    // Returns whether a write that requires the fence of the keeper's claim would succeed.
    bool may_write(std::size_t index) {
        expire(m_store, m_now);
        return held(index) && !m_store.m_key_lease.empty() &&
               m_store.m_value == lease_claim_value(m_keepers[index]);
    }

    // Lets a keeper make its next request. The answer arrives at once, or not at all if the store
    // can't be reached; with it the keeper learns the era.
    void step(std::size_t index, bool wanted, bool reachable) {
        lease_keeper& keeper = m_keepers[index];
        const lease_request request = lease_tick(keeper, wanted, m_now);
        if (request == lease_request::none) {
            return;
        }
        if (!reachable) {
            lease_reply failed;
            failed.m_kind = error_kind::store_unreachable;
            lease_receive(keeper, failed, m_now);
            return;
        }
        const lease_reply reply =
            handle_request(m_store, {request, keeper.m_lease, lease_claim_value(keeper)}, m_now);
        lease_receive(keeper, reply, m_now);
        if (m_known_era[index] != m_era) {
            m_known_era[index] = m_era;
            lease_store_restored(keeper, m_now);
        }
    }

    void restore() {
        m_store = m_copy;
        ++m_era;
    }
};

// Guards against two nodes that both act as the holder after the store was restored from a copy: at
// every step, only the one whose claim the store has may write, and of the nodes that know of the
// restoration at most one believes that it holds the lease. Guards also against a lease that nobody
// holds afterwards, because its key is that of a lost claim or its id was assigned again.
BOOST_AUTO_TEST_CASE(no_two_holders_act_after_a_restoration) {
    constexpr milliseconds step{50};
    for (int copied_step = 0; copied_step < 120; copied_step += 3) {
        for (const int lost_steps : {1, 10, 40, 100}) {
            for (const int cut_off : {-1, 0, 1}) { // the node that can't reach the store afterwards
                restored_store_run run;
                const int restored_step = copied_step + lost_steps;
                for (int i = 0; i < restored_step + 400; ++i, run.m_now += step) {
                    if (i == copied_step) {
                        run.m_copy = run.m_store;
                    }
                    if (i == restored_step) {
                        run.restore();
                    }
                    for (int index = 0; index < 2; ++index) {
                        const bool cut = index == cut_off && i >= restored_step;
                        // Before, the first node gives the lease up at times, so that it changes
                        // hands.
                        const bool wanted = index == 1 || i >= restored_step || i % 90 < 70;
                        run.step(static_cast<std::size_t>(index), wanted, !cut);
                    }
                    const bool both_know = run.m_known_era[0] == run.m_known_era[1];
                    BOOST_REQUIRE(!(run.may_write(0) && run.may_write(1)));
                    BOOST_REQUIRE(!(both_know && run.held(0) && run.held(1)));
                }
                const bool again = run.may_write(0) || run.may_write(1);
                BOOST_TEST(again, "copied " << copied_step << " lost " << lost_steps << " cut off "
                                            << cut_off);
            }
        }
    }
}

// Guards against a release, after a restoration, of a lease whose id belongs to another node by
// now.
BOOST_AUTO_TEST_CASE(a_lease_from_before_a_restoration_is_not_released) {
    lease_store store;
    time_point now{std::chrono::hours(1)};
    lease_keeper keeper = held_keeper(store, now);
    lease_store_restored(keeper, now);
    BOOST_TEST(!lease_held(keeper, now));
    for (int i = 0; i < 100; ++i, now += milliseconds(10)) {
        BOOST_REQUIRE((lease_tick(keeper, false, now) == lease_request::none));
    }
    // The same if a release was sent before and its answer is late.
    keeper = held_keeper(store, now);
    BOOST_REQUIRE((lease_tick(keeper, false, now) == lease_request::release));
    lease_store_restored(keeper, now);
    lease_reply late;
    late.m_kind = error_kind::store_outcome_unknown;
    lease_receive(keeper, late, now);
    for (int i = 0; i < 1'500; ++i, now += milliseconds(10)) {
        BOOST_REQUIRE((lease_tick(keeper, false, now) == lease_request::none));
    }
}

// Guards against a claim under a store lease from before a restoration: its id may be that of
// another node's lease, which would then keep the key alive.
BOOST_AUTO_TEST_CASE(a_lost_claim_is_made_again_under_a_new_lease) {
    lease_store store;
    time_point now{std::chrono::hours(1)};
    lease_keeper keeper = held_keeper(store, now);
    lease_store_restored(keeper, now);
    BOOST_REQUIRE((lease_tick(keeper, true, now) == lease_request::read_back));
    lease_reply absent;
    absent.m_kind = error_kind::store_not_found;
    lease_receive(keeper, absent, now);
    BOOST_TEST((lease_tick(keeper, true, now) == lease_request::create));
    BOOST_TEST(keeper.m_lease.empty());
}

BOOST_AUTO_TEST_SUITE_END()
