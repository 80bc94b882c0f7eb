#include "decide/leases/claim.hpp"

#include <algorithm>
#include <array>

#include "base/hash.hpp"

namespace caraway {
namespace {

// Hash buckets examined by one call of expire_claims. Bounds the pause of the calling thread.
constexpr std::size_t expire_buckets_per_call = 1'024;
// A withdrawn attempt is kept for this long, so that nodes that were referred to the claimant can
// find out that it did not run.
constexpr milliseconds withdrawn_retention{10'000};

// Returns whether every claim of this key that was ever made here is still in the table. A key
// without a first-sent time is trusted only once the table is older than the retention time. A key
// first sent longer ago than the retention time may have been claimed and forgotten.
bool has_complete_history(const claim_table& table, const claim_request& request, time_point now,
                          wall_time wall_now, std::optional<wall_time> promoted) {
    if (!request.m_first_sent_ms) {
        return now - table.m_started >= table.m_retention &&
               (!promoted || wall_now - *promoted >= table.m_retention);
    }
    const std::int64_t skew = clock_skew_allowance.count();
    const std::int64_t first_sent = *request.m_first_sent_ms;
    if (first_sent <= unix_ms(wall_now) - table.m_retention.count() + skew) {
        return false;
    }
    if (promoted && first_sent <= unix_ms(*promoted) + skew) {
        return false;
    }
    return first_sent > unix_ms(table.m_started_wall) + skew;
}

// Returns the cutoff before which an instance must have first started to be known to every ready
// node when the caller first sent the key.
std::int64_t convergence_cutoff(std::int64_t first_sent_ms) {
    constexpr auto allowance =
        (clock_skew_allowance + membership_convergence_allowance + suspicion_allowance).count();
    return std::max(first_sent_ms, allowance) - allowance;
}

// Returns whether the instance first started before the cutoff. An instance without a known first
// start doesn't count.
bool is_started_before(const known_instance& instance, std::int64_t cutoff_ms) {
    const std::uint64_t first = instance.m_first_incarnation;
    return first != 0 && first < static_cast<std::uint64_t>(std::max<std::int64_t>(cutoff_ms, 0));
}

// Returns the registrars among the instances first started before the cutoff, or among all
// instances without a cutoff.
std::vector<std::string> registrars_before(std::string_view service, std::string_view key,
                                           std::span<const known_instance> instances,
                                           std::optional<std::int64_t> cutoff_ms) {
    const std::string combined = claim_key(service, key);
    std::vector<std::pair<std::uint64_t, std::string_view>> weighted;
    weighted.reserve(instances.size());
    for (const known_instance& instance : instances) {
        if (!cutoff_ms || is_started_before(instance, *cutoff_ms)) {
            weighted.emplace_back(rendezvous_weight(combined, instance.m_instance),
                                  instance.m_instance);
        }
    }
    const std::size_t count = std::min(registrar_count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), std::greater<>());
    std::vector<std::string> registrars;
    registrars.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        registrars.emplace_back(weighted[i].second);
    }
    return registrars;
}

// Returns the convergence_cutoff of the first-sent time, or nothing without one.
std::optional<std::int64_t> optional_convergence_cutoff(std::optional<std::int64_t> first_sent_ms) {
    return first_sent_ms ? std::optional(convergence_cutoff(*first_sent_ms)) : std::nullopt;
}

bool contains(const std::vector<std::string>& names, std::string_view name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The registrars among the instances first started before a cutoff.
struct registrar_snapshot {
    std::optional<std::int64_t> m_cutoff_ms; // absent if all instances count
    std::vector<std::string> m_names;
};

// Returns the registrars as of from_ms and after the first start of every later instance that
// changes them, up to until_ms.
std::vector<registrar_snapshot> registrars_between(std::string_view service, std::string_view key,
                                                   std::span<const known_instance> instances,
                                                   std::int64_t from_ms,
                                                   std::optional<std::int64_t> until_ms) {
    std::vector<std::int64_t> cutoffs{from_ms};
    for (const known_instance& instance : instances) {
        const auto after_start_ms = static_cast<std::int64_t>(instance.m_first_incarnation) + 1;
        if (after_start_ms > from_ms && (!until_ms || after_start_ms < *until_ms)) {
            cutoffs.push_back(after_start_ms);
        }
    }
    std::sort(cutoffs.begin(), cutoffs.end());
    std::vector<registrar_snapshot> snapshots;
    for (const std::int64_t cutoff : cutoffs) {
        auto names = registrars_before(service, key, instances, cutoff);
        if (snapshots.empty() || names != snapshots.back().m_names) {
            snapshots.push_back({cutoff, std::move(names)});
        }
    }
    auto latest = registrars_before(service, key, instances, until_ms);
    if (latest != snapshots.back().m_names) {
        snapshots.push_back({until_ms, std::move(latest)});
    }
    return snapshots;
}

// Returns all registrar sets that a claim needs. loss_ms is the result of loss_cutoff_ms. Instances
// that joined after the key was first sent don't change the result, nor does a loss whose cutoff is
// not before the convergence_cutoff. An empty set from before recent joins means that the service
// is new, and is left out. An empty set from before a loss means that the registrars are uncertain,
// and is kept.
std::vector<registrar_snapshot> registrars_since(std::string_view service, std::string_view key,
                                                 std::span<const known_instance> instances,
                                                 std::optional<std::int64_t> first_sent_ms,
                                                 std::optional<std::int64_t> loss_ms) {
    const auto convergence_ms = optional_convergence_cutoff(first_sent_ms);
    std::vector<registrar_snapshot> snapshots;
    if (convergence_ms) {
        const std::int64_t joined_since_ms =
            std::max(*first_sent_ms, recent_join_window.count()) - recent_join_window.count();
        snapshots =
            registrars_between(service, key, instances, joined_since_ms,
                               std::min(*convergence_ms, loss_ms.value_or(*convergence_ms)));
        std::erase_if(snapshots,
                      [](const registrar_snapshot& snapshot) { return snapshot.m_names.empty(); });
    }
    if (loss_ms && (!convergence_ms || *loss_ms < *convergence_ms)) {
        const auto later = registrars_between(service, key, instances, *loss_ms, convergence_ms);
        snapshots.insert(snapshots.end(), later.begin(), later.end());
    } else if (!convergence_ms) {
        snapshots.push_back(
            {convergence_ms, registrars_before(service, key, instances, convergence_ms)});
    }
    return snapshots;
}

// Finds the departure that made this instance a registrar: adds the departed members back, the
// latest first, until this instance is no longer among the registrars.
std::optional<wall_time> promotion_time_at_cutoff(std::string_view service, std::string_view key,
                                                  std::optional<std::int64_t> cutoff_ms,
                                                  std::string_view self,
                                                  std::span<const known_instance> instances,
                                                  std::span<const departure> departures) {
    std::vector<departure> latest_first(departures.begin(), departures.end());
    std::sort(latest_first.begin(), latest_first.end(),
              [](const departure& a, const departure& b) { return a.m_left > b.m_left; });
    std::vector<known_instance> members(instances.begin(), instances.end());
    for (const departure& departed : latest_first) {
        const bool has_returned = std::any_of(
            members.begin(), members.end(), [&departed](const known_instance& instance) {
                return instance.m_instance == departed.m_instance.m_instance;
            });
        if (has_returned) {
            continue;
        }
        members.push_back(departed.m_instance);
        if (!contains(registrars_before(service, key, members, cutoff_ms), self)) {
            return departed.m_left;
        }
    }
    return std::nullopt;
}

} // namespace

std::string claim_key(std::string_view service, std::string_view key) {
    std::string combined;
    combined.reserve(service.size() + 1 + key.size());
    combined.append(service);
    // Occurs in neither part, so that two different pairs never give the same string.
    combined.push_back('\0');
    combined.append(key);
    return combined;
}

std::vector<std::string> select_registrars(std::string_view service, std::string_view key,
                                           std::span<const known_instance> instances,
                                           std::optional<std::int64_t> first_sent_ms) {
    return registrars_before(service, key, instances, optional_convergence_cutoff(first_sent_ms));
}

std::optional<std::int64_t> loss_cutoff_ms(std::optional<std::int64_t> first_sent_ms,
                                           std::span<const member_loss> losses) {
    std::optional<std::int64_t> earliest;
    for (const member_loss& loss : losses) {
        const bool ended = first_sent_ms && loss.m_until_ms &&
                           *loss.m_until_ms + heal_convergence_allowance.count() < *first_sent_ms;
        if (!ended) {
            earliest = std::min(earliest.value_or(loss.m_from_ms), loss.m_from_ms);
        }
    }
    return earliest ? std::optional(*earliest - loss_detection_allowance.count()) : std::nullopt;
}

registrar_sets select_registrar_sets(std::string_view service, std::string_view key,
                                     std::span<const known_instance> instances,
                                     std::optional<std::int64_t> first_sent_ms,
                                     std::span<const member_loss> losses) {
    registrar_sets selected;
    selected.m_cutoff_ms = loss_cutoff_ms(first_sent_ms, losses);
    for (const registrar_snapshot& snapshot :
         registrars_since(service, key, instances, first_sent_ms, selected.m_cutoff_ms)) {
        std::vector<std::size_t>& indices = selected.m_sets.emplace_back();
        for (const std::string& name : snapshot.m_names) {
            const auto found = std::find(selected.m_names.begin(), selected.m_names.end(), name);
            indices.push_back(static_cast<std::size_t>(found - selected.m_names.begin()));
            if (found == selected.m_names.end()) {
                selected.m_names.push_back(name);
            }
        }
    }
    return selected;
}

std::optional<wall_time> promotion_time(std::string_view service, std::string_view key,
                                        std::optional<std::int64_t> first_sent_ms,
                                        std::string_view self,
                                        std::span<const known_instance> instances,
                                        std::span<const departure> departures) {
    return promotion_time_at_cutoff(service, key, optional_convergence_cutoff(first_sent_ms), self,
                                    instances, departures);
}

std::optional<wall_time> promotion_time(const claim_request& request, std::string_view self,
                                        std::span<const known_instance> instances,
                                        std::span<const departure> departures) {
    std::optional<wall_time> latest;
    bool is_registrar = false;
    for (const registrar_snapshot& snapshot :
         registrars_since(request.m_service, request.m_key, instances, request.m_first_sent_ms,
                          request.m_cutoff_ms)) {
        if (contains(snapshot.m_names, self)) {
            is_registrar = true;
            latest = std::max(latest, promotion_time_at_cutoff(request.m_service, request.m_key,
                                                               snapshot.m_cutoff_ms, self,
                                                               instances, departures));
        }
    }
    return is_registrar ? latest
                        : promotion_time(request.m_service, request.m_key, request.m_first_sent_ms,
                                         self, instances, departures);
}

// A registrar that would not select itself isn't asked by the nodes that share its view. On a side
// that lost no member, for example, nodes don't ask the registrars from before the other side's
// loss. An instance first started before the loss is known on both sides. A newer one may count
// only if the claimant also asks the registrars from before the loss.
bool is_partition_safe(const claim_request& request, std::string_view self,
                       std::span<const known_instance> instances,
                       std::span<const member_loss> losses) {
    const registrar_sets selected = select_registrar_sets(
        request.m_service, request.m_key, instances, request.m_first_sent_ms, losses);
    if (!contains(selected.m_names, self)) {
        return false;
    }
    const auto cutoff = selected.m_cutoff_ms;
    if (!cutoff) {
        return true;
    }
    const auto own =
        std::find_if(instances.begin(), instances.end(), [self](const known_instance& instance) {
            return instance.m_instance == self;
        });
    if (own != instances.end() && is_started_before(*own, *cutoff)) {
        return true;
    }
    return request.m_cutoff_ms &&
           *request.m_cutoff_ms <= *cutoff + max_loss_start_difference.count();
}

claim_reply grant_claim(claim_table& table, const claim_request& request, time_point now,
                        wall_time wall_now, std::optional<wall_time> promoted) {
    claim_reply reply;
    reply.m_history_complete = has_complete_history(table, request, now, wall_now, promoted);
    const std::string combined = claim_key(request.m_service, request.m_key);
    const auto found = table.m_entries.find(combined);
    if (found != table.m_entries.end() && found->second.m_expires > now) {
        const claim_entry& entry = found->second;
        const bool same_attempt =
            entry.m_claimant == request.m_claimant && entry.m_claim_id == request.m_claim_id;
        reply.m_status = same_attempt ? claim_status::granted : claim_status::held;
        reply.m_claimant = entry.m_claimant;
        reply.m_claim_id = entry.m_claim_id;
        return reply;
    }
    if (found == table.m_entries.end() && table.m_entries.size() >= table.m_max_entries) {
        reply.m_status = claim_status::full;
        return reply;
    }
    table.m_entries[combined] = {request.m_claimant, request.m_claim_id, now + table.m_retention};
    reply.m_status = claim_status::granted;
    reply.m_claimant = request.m_claimant;
    reply.m_claim_id = request.m_claim_id;
    return reply;
}

void withdraw_claim(claim_table& table, const claim_request& request) {
    const auto found = table.m_entries.find(claim_key(request.m_service, request.m_key));
    if (found != table.m_entries.end() && found->second.m_claimant == request.m_claimant &&
        found->second.m_claim_id == request.m_claim_id) {
        table.m_entries.erase(found);
    }
}

// Examines a bounded number of hash buckets and continues there in the next call. A rehash in
// between only changes the order in which buckets are examined.
void expire_claims(claim_table& table, time_point now) {
    auto& entries = table.m_entries;
    std::vector<std::string> expired;
    const std::size_t buckets = std::min(entries.bucket_count(), expire_buckets_per_call);
    for (std::size_t i = 0; i < buckets; ++i) {
        const std::size_t bucket = table.m_next_bucket++ % entries.bucket_count();
        for (auto entry = entries.begin(bucket); entry != entries.end(bucket); ++entry) {
            if (entry->second.m_expires <= now) {
                expired.push_back(entry->first);
            }
        }
    }
    for (const std::string& key : expired) {
        entries.erase(key);
    }
}

// Any earlier attempt that ran had grants from a majority of the registrars. If a majority now
// replies, with a complete history, that it knows no claim, the two majorities share a registrar,
// so the key did not run. One registrar with a complete history is not enough: it may have been
// partitioned away and considered dead while the other two granted the claim, and these two may
// have restarted since.
claim_decision decide_claim(std::span<const claim_reply> replies) {
    claim_decision decision;
    std::size_t granted = 0;
    std::size_t complete_unclaimed = 0;
    bool unreachable = false;
    bool full = false;
    for (const claim_reply& reply : replies) {
        if (reply.m_status == claim_status::held) {
            decision.m_kind = claim_decision::kind::ask_claimant;
            decision.m_claimant = reply.m_claimant;
            decision.m_claim_id = reply.m_claim_id;
            decision.m_reason = error_kind::key_already_claimed;
            return decision;
        }
        granted += reply.m_status == claim_status::granted ? 1 : 0;
        unreachable = unreachable || reply.m_status == claim_status::unreachable;
        full = full || reply.m_status == claim_status::full;
        const bool replied =
            reply.m_status == claim_status::granted || reply.m_status == claim_status::full;
        complete_unclaimed += replied && reply.m_history_complete ? 1 : 0;
    }
    const bool is_confirmed_unclaimed = 2 * complete_unclaimed > replies.size();
    if (!is_confirmed_unclaimed) {
        decision.m_kind = claim_decision::kind::unknown;
        decision.m_reason = error_kind::key_history_incomplete;
        return decision;
    }
    if (unreachable || full || 2 * granted <= replies.size()) {
        decision.m_kind = claim_decision::kind::refuse;
        decision.m_reason = unreachable ? error_kind::peer_unreachable : error_kind::queue_full;
        return decision;
    }
    decision.m_kind = claim_decision::kind::run;
    return decision;
}

claim_decision decide_claim(const registrar_sets& registrars,
                            std::span<const claim_reply> replies) {
    using kind = claim_decision::kind;
    const auto severity = [](kind value) {
        constexpr std::array<kind, 4> order{kind::run, kind::refuse, kind::unknown,
                                            kind::ask_claimant};
        return std::find(order.begin(), order.end(), value) - order.begin();
    };
    if (registrars.m_sets.empty()) {
        return decide_claim(std::span<const claim_reply>{});
    }
    claim_decision most_severe;
    most_severe.m_kind = kind::run;
    for (const std::vector<std::size_t>& indices : registrars.m_sets) {
        std::vector<claim_reply> set_replies;
        set_replies.reserve(indices.size());
        for (const std::size_t index : indices) {
            set_replies.push_back(replies[index]);
        }
        const claim_decision decision = decide_claim(set_replies);
        if (severity(decision.m_kind) > severity(most_severe.m_kind)) {
            most_severe = decision;
        }
    }
    return most_severe;
}

bool reserve_result(result_table& table, std::string_view combined_key, std::uint64_t claim_id,
                    time_point now) {
    const std::string key(combined_key);
    const auto found = table.m_results.find(key);
    if (found != table.m_results.end()) {
        const stored_result& existing = found->second;
        const bool ended = existing.m_state != result_state::running && existing.m_expires <= now;
        if (existing.m_state != result_state::withdrawn && !ended) {
            return false;
        }
        table.m_total_bytes -= existing.m_body.size();
    } else if (table.m_results.size() >= table.m_max_entries) {
        return false;
    }
    stored_result& result = table.m_results[key];
    result = stored_result{};
    result.m_claim_id = claim_id;
    result.m_expires = now + table.m_retention;
    return true;
}

void store_result(result_table& table, std::string_view combined_key, std::uint16_t status,
                  std::string_view content_type, std::string_view body, time_point now) {
    const auto found = table.m_results.find(std::string(combined_key));
    if (found == table.m_results.end() || found->second.m_state != result_state::running) {
        return;
    }
    stored_result& result = found->second;
    result.m_status = status;
    result.m_expires = now + table.m_retention;
    if (body.size() > table.m_max_bytes ||
        table.m_total_bytes + body.size() > table.m_max_total_bytes) {
        result.m_state = result_state::too_large;
        return;
    }
    result.m_state = result_state::stored;
    result.m_content_type = content_type;
    result.m_body = body;
    table.m_total_bytes += body.size();
}

// Keeps the entry for withdrawn_retention. reserve_result may replace it at once.
void withdraw_result(result_table& table, std::string_view combined_key) {
    const auto found = table.m_results.find(std::string(combined_key));
    if (found == table.m_results.end() || found->second.m_state != result_state::running) {
        return;
    }
    found->second.m_state = result_state::withdrawn;
    found->second.m_expires += withdrawn_retention - table.m_retention;
}

const stored_result* find_result(const result_table& table, std::string_view combined_key) {
    const auto found = table.m_results.find(std::string(combined_key));
    return found == table.m_results.end() ? nullptr : &found->second;
}

// Entries of running requests are kept because their outcome isn't known yet.
void expire_results(result_table& table, time_point now) {
    std::erase_if(table.m_results, [&](const auto& item) {
        const stored_result& result = item.second;
        if (result.m_state == result_state::running || result.m_expires > now) {
            return false;
        }
        table.m_total_bytes -= result.m_body.size();
        return true;
    });
}

} // namespace caraway
