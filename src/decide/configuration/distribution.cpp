#include "decide/configuration/distribution.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"

namespace caraway {
namespace {

using actions = std::vector<distribution_action>;
using kind = distribution_action::kind;

// A failed fetch is retried with another holder after 50 ms, doubling up to 2 s. One dead holder
// then costs little of the 18 s within which a version must be in force, and an overloaded holder
// gets fewer requests.
constexpr milliseconds first_fetch_backoff{50};
constexpr milliseconds max_fetch_backoff{2'000};
// Peers examined per search for a holder. Bounds the work of one event in a large mesh.
constexpr std::size_t max_holders_scanned = 256;
// Before it is ready, a node skips a version while it knows of a higher one, unless this many
// fetches have failed. A restarted node therefore doesn't apply a version below its predecessor's
// only because a lagging peer replied first.
constexpr std::uint32_t failures_before_older = 6;
// Maximum number of peers remembered after a failed fetch. If more peers hold a higher version, the
// same one is unlikely to be chosen again.
constexpr std::size_t max_failed_holders = 16;

// Sets the version that a peer holds and updates the holder counts; 0 removes the peer.
void set_peer_version(distribution_state& state, std::string_view instance, std::uint64_t version) {
    auto found = state.m_peer_versions.find(instance);
    if (found == state.m_peer_versions.end()) {
        if (version == 0 || state.m_peer_versions.size() >= max_peer_versions) {
            return;
        }
        state.m_peer_versions.emplace(instance, version);
        ++state.m_holder_counts[version];
        return;
    }
    if (found->second == version) {
        return;
    }
    const auto count = state.m_holder_counts.find(found->second);
    if (--count->second == 0) {
        state.m_holder_counts.erase(count);
    }
    if (version == 0) {
        state.m_peer_versions.erase(found);
        return;
    }
    found->second = version;
    ++state.m_holder_counts[version];
}

// Returns whether enough peers hold the version or a later one, so that a node that restarts while
// the store is down gets at least this version from one of them.
bool has_replicas(const distribution_state& state, std::uint64_t version,
                  std::size_t live_members) {
    const std::size_t needed = std::min(state.m_required_replicas, live_members);
    std::size_t holders = 0;
    for (auto count = state.m_holder_counts.lower_bound(version);
         count != state.m_holder_counts.end() && holders < needed; ++count) {
        holders += count->second;
    }
    return holders >= needed;
}

// Returns whether the node knows the minimum version that it may apply. Without the store, it must
// have replies from at least join_replies_before_apply members, or from all it knows if these are
// fewer.
bool is_min_version_known(const distribution_state& state, std::size_t live_members) {
    if (state.m_store_read) {
        return true;
    }
    return live_members > 0 &&
           state.m_join_replies.size() >= std::min(join_replies_before_apply, live_members);
}

// Applies the highest candidate that may be applied, and marks the node ready once a version at or
// above the minimum is applied.
void try_apply(distribution_state& state, std::size_t live_members, actions& out) {
    if (!is_min_version_known(state, live_members)) {
        return;
    }
    for (auto candidate = state.m_candidates.rbegin(); candidate != state.m_candidates.rend();
         ++candidate) {
        const std::uint64_t version = *candidate;
        if (version <= state.m_applied || version < state.m_min_version) {
            break;
        }
        const bool older_than_known =
            version < state.m_highest_known && version > state.m_store_version;
        if (!state.m_ready && older_than_known && state.m_fetch_failures < failures_before_older) {
            continue;
        }
        const bool from_store = version <= state.m_store_version && state.m_store_wait_over;
        if (!from_store && !has_replicas(state, version, live_members)) {
            continue;
        }
        state.m_applied = version;
        state.m_candidates.erase(state.m_candidates.begin(),
                                 state.m_candidates.upper_bound(version));
        out.push_back({kind::apply, {}, version});
        break;
    }
    if (!state.m_ready && state.m_applied > 0 && state.m_applied >= state.m_min_version) {
        state.m_ready = true;
        out.push_back({kind::ready, {}, state.m_applied});
    }
}

// Finds a peer that holds a version above the one held here. Prefers the peer that announced it if
// that peer is still known; otherwise runs a bounded search that continues where the last one
// ended, with failed holders last.
std::optional<std::string> choose_holder(distribution_state& state, std::uint64_t held) {
    const auto& peers = state.m_peer_versions;
    if (!state.m_preferred_holder.empty()) {
        const auto preferred = peers.find(std::exchange(state.m_preferred_holder, {}));
        if (preferred != peers.end() && preferred->second > held) {
            return preferred->first;
        }
    }
    if (peers.empty() || state.m_holder_counts.upper_bound(held) == state.m_holder_counts.end()) {
        return std::nullopt;
    }
    auto peer = peers.lower_bound(state.m_scan_start);
    const std::string* best = nullptr;
    std::uint64_t best_version = held;
    std::uint64_t ties = 0;
    const std::string* failed = nullptr;
    for (std::size_t step = 0; step < std::min(max_holders_scanned, peers.size()); ++step, ++peer) {
        if (peer == peers.end()) {
            peer = peers.begin();
        }
        if (peer->second <= held) {
            continue;
        }
        if (state.m_failed_holders.contains(peer->first)) {
            failed = &peer->first;
            continue;
        }
        ties = peer->second > best_version ? 1 : ties + (peer->second == best_version ? 1 : 0);
        if (peer->second > best_version ||
            (peer->second == best_version && state.m_random.below(ties) == 0)) {
            best = &peer->first;
            best_version = peer->second;
        }
    }
    state.m_scan_start = peer == peers.end() ? std::string{} : peer->first;
    if (best == nullptr && failed != nullptr) {
        state.m_failed_holders.clear();
        best = failed;
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

// Starts a fetch if a higher version is known, a holder is found and no fetch is pending.
void try_fetch(distribution_state& state, time_point now, actions& out) {
    const std::uint64_t held = held_version(state);
    if (state.m_fetch_from || now < state.m_next_fetch || state.m_highest_known <= held) {
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

// Records a failed fetch and delays the next one.
void back_off(distribution_state& state, time_point now) {
    if (!state.m_fetch_from) {
        return;
    }
    if (state.m_failed_holders.size() < max_failed_holders) {
        state.m_failed_holders.insert(*state.m_fetch_from);
    }
    state.m_fetch_from.reset();
    const std::uint32_t doublings = std::min<std::uint32_t>(state.m_fetch_failures, 6);
    state.m_fetch_failures = std::min<std::uint32_t>(state.m_fetch_failures + 1, 1'000);
    const milliseconds wait = std::min(first_fetch_backoff * (1 << doublings), max_fetch_backoff);
    const auto jitter =
        std::chrono::duration_cast<duration>(duration(wait) * state.m_random.unit());
    state.m_next_fetch = now + duration(wait) / 2 + jitter;
}

// Stores a verified text and drops the oldest ones. The text in force is kept whatever its age,
// since peers request deltas against it.
void keep_text(distribution_state& state, const config_text& text) {
    state.m_texts.insert_or_assign(text.m_version, text);
    state.m_highest_known = std::max(state.m_highest_known, text.m_version);
    for (auto kept = state.m_texts.begin();
         state.m_texts.size() > max_kept_texts && kept != state.m_texts.end();) {
        if (kept->first == state.m_applied) {
            ++kept;
            continue;
        }
        state.m_candidates.erase(kept->first);
        kept = state.m_texts.erase(kept);
    }
}

// Adds the actions that announce and parse a stored text. They must be the last actions of an
// event.
void announce_and_parse(std::uint64_t version, actions& out) {
    out.push_back({kind::announce, {}, version});
    out.push_back({kind::parse, {}, version});
}

// Returns whether the text is present and its hash is correct.
bool is_verified(const config_text& text) {
    return text.m_version > 0 && text.m_text != nullptr && hash_bytes(*text.m_text) == text.m_hash;
}

} // namespace

distribution_state make_distribution(std::string instance, milliseconds fetch_timeout,
                                     std::uint64_t seed) {
    distribution_state state;
    // Each node starts its search at another peer, which spreads the load over the holders.
    state.m_scan_start = instance;
    state.m_instance = std::move(instance);
    state.m_fetch_timeout = fetch_timeout;
    state.m_random = random_source(seed);
    return state;
}

std::uint64_t held_version(const distribution_state& state) {
    return state.m_texts.empty() ? 0 : state.m_texts.rbegin()->first;
}

std::vector<distribution_action>
distribution_peer_version(distribution_state& state, std::string_view instance,
                          std::uint64_t version, std::size_t live_members, time_point now) {
    actions out;
    if (instance == state.m_instance) {
        return out;
    }
    set_peer_version(state, instance, version);
    const std::uint64_t held = held_version(state);
    if (version > held && (version > state.m_highest_known || state.m_preferred_holder.empty())) {
        state.m_preferred_holder = instance;
    }
    state.m_highest_known = std::max(state.m_highest_known, version);
    try_fetch(state, now, out);
    if (!state.m_candidates.empty()) {
        try_apply(state, live_members, out);
    }
    return out;
}

std::vector<distribution_action>
distribution_text_received(distribution_state& state, std::string_view instance,
                           const config_text& text, std::size_t live_members, time_point now) {
    actions out;
    const bool answers_fetch = state.m_fetch_from && *state.m_fetch_from == instance;
    if (!is_verified(text) || text.m_version <= held_version(state)) {
        if (answers_fetch) {
            // A peer that holds nothing newer although it announced a higher version has restarted.
            if (is_verified(text)) {
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
    state.m_failed_holders.clear();
    state.m_next_fetch = now;
    set_peer_version(state, instance, text.m_version);
    keep_text(state, text);
    try_fetch(state, now, out);
    try_apply(state, live_members, out);
    announce_and_parse(text.m_version, out);
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
    if (!is_verified(*text)) {
        return out;
    }
    state.m_store_read = true;
    state.m_min_version = std::max(state.m_min_version, text->m_version);
    if (text->m_version > state.m_store_version) {
        state.m_store_version = text->m_version;
        state.m_store_version_read_at = now;
        state.m_store_wait_over = false;
    }
    const auto kept = state.m_texts.find(text->m_version);
    const bool replaces = kept == state.m_texts.end() || kept->second.m_hash != text->m_hash;
    const bool wanted = text->m_version > state.m_applied && replaces;
    if (wanted) {
        // The parse result of another text of this version doesn't count.
        state.m_candidates.erase(text->m_version);
        keep_text(state, *text);
    }
    try_apply(state, live_members, out);
    try_fetch(state, now, out);
    if (wanted && state.m_texts.contains(text->m_version)) {
        announce_and_parse(text->m_version, out);
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

std::vector<distribution_action> distribution_join_reply(distribution_state& state,
                                                         std::string_view instance,
                                                         std::uint64_t version,
                                                         std::uint64_t predecessor_version,
                                                         std::size_t live_members, time_point now) {
    if (!state.m_ready && state.m_join_replies.size() < max_peer_versions) {
        state.m_min_version = std::max({state.m_min_version, version, predecessor_version});
        state.m_join_replies.emplace(instance);
    }
    actions out = distribution_peer_version(state, instance, version, live_members, now);
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
    state.m_store_wait_over = now - state.m_store_version_read_at >= store_replica_wait;
    // The number of live members may have decreased, or the last fetch may have failed.
    if (!state.m_candidates.empty()) {
        try_apply(state, live_members, out);
    }
    return out;
}

void distribution_peer_gone(distribution_state& state, std::string_view instance) {
    set_peer_version(state, instance, 0);
}

in_force_report report_in_force(std::uint64_t version, std::span<const member_version> members,
                                duration since_acceptance) {
    in_force_report report;
    report.m_version = version;
    report.m_members = members.size();
    for (const member_version& member : members) {
        if (member.m_version >= version) {
            ++report.m_in_force;
        } else if (report.m_missing.size() < max_missing_names) {
            report.m_missing.emplace_back(member.m_instance);
        }
    }
    report.m_final = report.m_in_force == report.m_members || since_acceptance >= in_force_limit;
    return report;
}

} // namespace caraway
