#include "decide/distribution.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"

namespace caraway {
namespace {

using actions = std::vector<distribution_action>;
using kind = distribution_action::kind;

// A failed fetch is tried again with another holder after 50 ms, doubling up to 2 s, so that one
// dead holder costs little of the 18 s and an overloaded one is not pressed.
constexpr milliseconds first_fetch_backoff{50};
constexpr milliseconds max_fetch_backoff{2'000};
// Peers looked at per search for a holder; bounds the work of one event in a large mesh.
constexpr std::size_t holders_scanned = 256;
// Before it is ready, a node skips a version while it knows of a higher one, unless this many
// fetches have failed. A restarted node then doesn't apply a version below its predecessor's just
// because a peer that lags was the first to reply.
constexpr std::uint32_t failures_before_older = 6;
// Failed holders remembered; in a mesh with more holders a repeated choice is unlikely.
constexpr std::size_t max_fetch_failed = 16;

void set_peer_version(distribution_state& state, std::string_view instance, std::uint64_t version) {
    auto found = state.m_peer_versions.find(instance);
    if (found == state.m_peer_versions.end()) {
        if (version == 0 || state.m_peer_versions.size() >= max_peer_versions) {
            return;
        }
        state.m_peer_versions.emplace(instance, version);
        ++state.m_holders[version];
        return;
    }
    if (found->second == version) {
        return;
    }
    const auto count = state.m_holders.find(found->second);
    if (--count->second == 0) {
        state.m_holders.erase(count);
    }
    if (version == 0) {
        state.m_peer_versions.erase(found);
        return;
    }
    found->second = version;
    ++state.m_holders[version];
}

// Whether enough peers hold the version or a later one: a node that restarts while the store is
// down then learns at least this version from one of them.
bool has_replicas(const distribution_state& state, std::uint64_t version,
                  std::size_t live_members) {
    const std::size_t needed = std::min(state.m_replicas, live_members);
    std::size_t holders = 0;
    for (auto at = state.m_holders.lower_bound(version);
         at != state.m_holders.end() && holders < needed; ++at) {
        holders += at->second;
    }
    return holders >= needed;
}

// Whether the node knows a version below which it must not go. Without the store it has asked at
// least joined_before_apply members, or all it knows if these are fewer.
bool floor_known(const distribution_state& state, std::size_t live_members) {
    if (state.m_store_read) {
        return true;
    }
    return live_members > 0 && state.m_joined.size() >= std::min(joined_before_apply, live_members);
}

// Applies the highest candidate that may be applied, and becomes ready with it.
void try_apply(distribution_state& state, std::size_t live_members, actions& out) {
    if (!floor_known(state, live_members)) {
        return;
    }
    for (auto at = state.m_candidates.rbegin(); at != state.m_candidates.rend(); ++at) {
        const std::uint64_t version = *at;
        if (version <= state.m_applied || version < state.m_floor) {
            break;
        }
        const bool older_than_heard = version < state.m_highest && version > state.m_from_store;
        if (!state.m_ready && older_than_heard && state.m_fetch_failures < failures_before_older) {
            continue;
        }
        const bool from_store = version <= state.m_from_store && state.m_store_waited;
        if (!from_store && !has_replicas(state, version, live_members)) {
            continue;
        }
        state.m_applied = version;
        state.m_candidates.erase(state.m_candidates.begin(),
                                 state.m_candidates.upper_bound(version));
        out.push_back({kind::apply, {}, version});
        break;
    }
    if (!state.m_ready && state.m_applied > 0 && state.m_applied >= state.m_floor) {
        state.m_ready = true;
        out.push_back({kind::ready, {}, state.m_applied});
    }
}

// Finds a peer that holds a version above the one held here: the peer that announced it if it is
// still known, else one found by a bounded search that continues where the last one ended.
std::optional<std::string> choose_holder(distribution_state& state, std::uint64_t held) {
    const auto& peers = state.m_peer_versions;
    if (!state.m_fetch_next.empty()) {
        const auto preferred = peers.find(std::exchange(state.m_fetch_next, {}));
        if (preferred != peers.end() && preferred->second > held) {
            return preferred->first;
        }
    }
    if (peers.empty() || state.m_holders.upper_bound(held) == state.m_holders.end()) {
        return std::nullopt;
    }
    auto at = peers.lower_bound(state.m_scan_from);
    const std::string* best = nullptr;
    std::uint64_t best_version = held;
    std::uint64_t ties = 0;
    const std::string* failed = nullptr;
    for (std::size_t step = 0; step < std::min(holders_scanned, peers.size()); ++step, ++at) {
        if (at == peers.end()) {
            at = peers.begin();
        }
        if (at->second <= held) {
            continue;
        }
        if (state.m_fetch_failed.contains(at->first)) {
            failed = &at->first;
            continue;
        }
        ties = at->second > best_version ? 1 : ties + (at->second == best_version ? 1 : 0);
        if (at->second > best_version ||
            (at->second == best_version && state.m_random.below(ties) == 0)) {
            best = &at->first;
            best_version = at->second;
        }
    }
    state.m_scan_from = at == peers.end() ? std::string{} : at->first;
    if (best == nullptr && failed != nullptr) {
        state.m_fetch_failed.clear();
        best = failed;
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void try_fetch(distribution_state& state, time_point now, actions& out) {
    const std::uint64_t held = held_version(state);
    if (state.m_fetch_from || now < state.m_next_fetch || state.m_highest <= held) {
        return;
    }
    std::optional<std::string> from = choose_holder(state, held);
    if (!from) {
        return;
    }
    state.m_fetch_from = from;
    state.m_fetch_sent = now;
    out.push_back({kind::fetch, std::move(*from), held});
}

// Notes a failed fetch and waits before the next one.
void back_off(distribution_state& state, time_point now) {
    if (!state.m_fetch_from) {
        return;
    }
    if (state.m_fetch_failed.size() < max_fetch_failed) {
        state.m_fetch_failed.insert(*state.m_fetch_from);
    }
    state.m_fetch_from.reset();
    const std::uint32_t doublings = std::min<std::uint32_t>(state.m_fetch_failures, 6);
    state.m_fetch_failures = std::min<std::uint32_t>(state.m_fetch_failures + 1, 1'000);
    const milliseconds wait = std::min(first_fetch_backoff * (1 << doublings), max_fetch_backoff);
    const auto jitter =
        std::chrono::duration_cast<duration>(duration(wait) * state.m_random.unit());
    state.m_next_fetch = now + duration(wait) / 2 + jitter;
}

// Keeps a verified text and drops the oldest ones. The text in force is kept whatever its age,
// since peers ask for deltas against it.
void keep_text(distribution_state& state, const config_text& text) {
    state.m_texts.insert_or_assign(text.m_version, text);
    state.m_highest = std::max(state.m_highest, text.m_version);
    for (auto at = state.m_texts.begin();
         state.m_texts.size() > kept_texts && at != state.m_texts.end();) {
        if (at->first == state.m_applied) {
            ++at;
            continue;
        }
        state.m_candidates.erase(at->first);
        at = state.m_texts.erase(at);
    }
}

// Has a kept text announced and parsed; the last actions of an event.
void use_text(std::uint64_t version, actions& out) {
    out.push_back({kind::announce, {}, version});
    out.push_back({kind::parse, {}, version});
}

bool verified(const config_text& text) {
    return text.m_version > 0 && text.m_text != nullptr && hash_bytes(*text.m_text) == text.m_hash;
}

} // namespace

distribution_state make_distribution(std::string instance, milliseconds fetch_timeout,
                                     std::uint64_t seed) {
    distribution_state state;
    // Each node starts its search elsewhere, which spreads the load over the holders.
    state.m_scan_from = instance;
    state.m_instance = std::move(instance);
    state.m_fetch_timeout = fetch_timeout;
    state.m_random = random_source(seed);
    return state;
}

std::uint64_t held_version(const distribution_state& state) {
    return state.m_texts.empty() ? 0 : state.m_texts.rbegin()->first;
}

std::vector<distribution_action> distribution_heard(distribution_state& state,
                                                    std::string_view instance,
                                                    std::uint64_t version, std::size_t live_members,
                                                    time_point now) {
    actions out;
    if (instance == state.m_instance) {
        return out;
    }
    set_peer_version(state, instance, version);
    const std::uint64_t held = held_version(state);
    if (version > held && (version > state.m_highest || state.m_fetch_next.empty())) {
        state.m_fetch_next = instance;
    }
    state.m_highest = std::max(state.m_highest, version);
    try_fetch(state, now, out);
    if (!state.m_candidates.empty()) {
        try_apply(state, live_members, out);
    }
    return out;
}

std::vector<distribution_action> distribution_received(distribution_state& state,
                                                       std::string_view instance,
                                                       const config_text& text,
                                                       std::size_t live_members, time_point now) {
    actions out;
    const bool answers_fetch = state.m_fetch_from && *state.m_fetch_from == instance;
    if (!verified(text) || text.m_version <= held_version(state)) {
        if (answers_fetch) {
            // A peer that holds nothing newer than announced has restarted.
            if (verified(text)) {
                set_peer_version(state, instance, text.m_version);
            }
            back_off(state, now);
        }
        return out;
    }
    if (answers_fetch) {
        state.m_fetch_from.reset();
    }
    state.m_fetch_failures = 0;
    state.m_fetch_failed.clear();
    state.m_next_fetch = now;
    set_peer_version(state, instance, text.m_version);
    keep_text(state, text);
    try_fetch(state, now, out);
    try_apply(state, live_members, out);
    use_text(text.m_version, out);
    return out;
}

std::vector<distribution_action> distribution_fetch_failed(distribution_state& state,
                                                           time_point now) {
    back_off(state, now);
    return {};
}

std::vector<distribution_action> distribution_store_read(distribution_state& state,
                                                         const std::optional<config_text>& text,
                                                         std::size_t live_members, time_point now) {
    actions out;
    if (!text) {
        state.m_store_read = true;
        try_apply(state, live_members, out);
        return out;
    }
    if (!verified(*text)) {
        return out;
    }
    state.m_store_read = true;
    state.m_floor = std::max(state.m_floor, text->m_version);
    if (text->m_version > state.m_from_store) {
        state.m_from_store = text->m_version;
        state.m_from_store_at = now;
        state.m_store_waited = false;
    }
    const auto kept = state.m_texts.find(text->m_version);
    const bool replaces = kept == state.m_texts.end() || kept->second.m_hash != text->m_hash;
    const bool wanted = text->m_version > state.m_applied && replaces;
    if (wanted) {
        // What was parsed of another text of this version doesn't count.
        state.m_candidates.erase(text->m_version);
        keep_text(state, *text);
    }
    try_apply(state, live_members, out);
    try_fetch(state, now, out);
    if (wanted && state.m_texts.contains(text->m_version)) {
        use_text(text->m_version, out);
    }
    return out;
}

std::vector<distribution_action> distribution_parsed(distribution_state& state,
                                                     std::uint64_t version, bool valid,
                                                     std::size_t live_members, time_point now) {
    actions out;
    static_cast<void>(now);
    if (!valid || version <= state.m_applied || !state.m_texts.contains(version)) {
        return out;
    }
    state.m_candidates.insert(version);
    try_apply(state, live_members, out);
    return out;
}

std::vector<distribution_action>
distribution_joined(distribution_state& state, std::string_view instance, std::uint64_t version,
                    std::uint64_t predecessor_version, std::size_t live_members, time_point now) {
    if (!state.m_ready && state.m_joined.size() < max_peer_versions) {
        state.m_floor = std::max({state.m_floor, version, predecessor_version});
        state.m_joined.emplace(instance);
    }
    actions out = distribution_heard(state, instance, version, live_members, now);
    try_apply(state, live_members, out);
    return out;
}

std::vector<distribution_action> distribution_tick(distribution_state& state,
                                                   std::size_t live_members, time_point now) {
    actions out;
    if (state.m_fetch_from && now - state.m_fetch_sent >= state.m_fetch_timeout) {
        back_off(state, now);
    }
    try_fetch(state, now, out);
    state.m_store_waited = now - state.m_from_store_at >= store_replica_wait;
    // The number of live members may have fallen, or the last fetch failed.
    if (!state.m_candidates.empty()) {
        try_apply(state, live_members, out);
    }
    return out;
}

void distribution_gone(distribution_state& state, std::string_view instance) {
    set_peer_version(state, instance, 0);
}

in_force_report report_in_force(std::uint64_t version, std::span<const member_version> members,
                                duration since_acceptance) {
    in_force_report report;
    report.m_version = version;
    report.m_members = members.size();
    for (const member_version& each : members) {
        if (each.m_version >= version) {
            ++report.m_in_force;
        } else if (report.m_missing.size() < max_missing_names) {
            report.m_missing.emplace_back(each.m_instance);
        }
    }
    report.m_final = report.m_in_force == report.m_members || since_acceptance >= in_force_limit;
    return report;
}

} // namespace caraway
