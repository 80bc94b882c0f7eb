#include <algorithm>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "node/control.hpp"
#include "node/recorded.hpp"
#include "observe/log.hpp"

namespace caraway {
namespace {

// Compares a member's bucket hashes with this node's; the reply holds this node's members of the
// buckets that differ.
bulk_reply serve_digest(control& state, const members_digest_request& request) {
    members_digest_reply reply;
    const std::vector<std::uint64_t> own = member_bucket_hashes(state.m_members);
    for (std::uint32_t i = 0; i < own.size() && i < request.m_bucket_hashes.size(); ++i) {
        if (own[i] != request.m_bucket_hashes[i]) {
            reply.m_differing_buckets.push_back(i);
        }
    }
    reply.m_members = members_in_buckets(state.m_members, reply.m_differing_buckets);
    return reply;
}

// Handles each kind of bulk request and returns its reply.
struct bulk_request_handler {
    control& m_state;

    bulk_reply operator()(const join_request& request) const {
        return serve_join(m_state, request);
    }
    bulk_reply operator()(const fetch_config_request& request) const {
        handle_peer_version(m_state, request.m_instance, request.m_have_version);
        return fetch_config_reply{
            pack_latest_text(m_state, request.m_have_version, request.m_want_version)};
    }
    bulk_reply operator()(const facts_message& request) const {
        facts_message reply = collect_facts(m_state);
        receive_facts(m_state, request, true);
        return reply;
    }
    bulk_reply operator()(const members_digest_request& request) const {
        return serve_digest(m_state, request);
    }
    bulk_reply operator()(const merge_members_request& request) const {
        perform(m_state, membership_merge(m_state.m_members, request.m_members, m_state.now()));
        return ack_reply{};
    }
    bulk_reply operator()(const evidence_report& request) const {
        receive_evidence(m_state, request);
        return m_state.m_move.m_old_version_sum;
    }
    bulk_reply operator()(const in_force_summary& request) const {
        receive_in_force_summary(m_state, request);
        return ack_reply{};
    }
};

// Maps a request to the purpose under which its bytes are counted.
struct purpose_of {
    byte_purpose operator()(const join_request&) const { return byte_purpose::join; }
    byte_purpose operator()(const fetch_config_request&) const { return byte_purpose::text; }
    byte_purpose operator()(const facts_message&) const { return byte_purpose::facts; }
    byte_purpose operator()(const members_digest_request&) const { return byte_purpose::table; }
    byte_purpose operator()(const merge_members_request&) const { return byte_purpose::table; }
    byte_purpose operator()(const evidence_report&) const { return byte_purpose::other; }
    byte_purpose operator()(const in_force_summary&) const { return byte_purpose::other; }
};

// Returns the scope under which bytes exchanged with an address are counted. An unknown address
// counts as another data centre's.
byte_scope scope_of(const control& state, const ip_endpoint& address) {
    const auto found = state.m_address_is_local.find(address);
    const bool local = found != state.m_address_is_local.end() && found->second;
    return local ? byte_scope::own_data_centre : byte_scope::other_data_centre;
}

void send_packet(control& state, const membership_action& action) {
    const std::string bytes = encode_packet(action.m_packet);
    const bool rumour = action.m_packet.m_kind == packet_kind::rumour;
    state.m_metrics->moved_bytes().add(rumour ? byte_purpose::rumour : byte_purpose::probe,
                                       scope_of(state, action.m_to), bytes.size());
    state.m_udp->send(action.m_to, bytes);
}

// Logs a member's change and updates the address table. A member that left or died is no longer
// counted as a holder of texts.
void handle_member_change(control& state, const std::string& instance) {
    const auto found = state.m_members.m_members.find(instance);
    if (found == state.m_members.m_members.end()) {
        return;
    }
    const member& changed = found->second.m_member;
    const bool has_left = changed.m_state == member_state::left;
    if (has_left || changed.m_state == member_state::dead) {
        remove_text_holder(state, instance);
        state.m_address_is_local.erase(changed.m_udp);
        state.m_address_is_local.erase(changed.m_bulk);
    } else {
        const bool local = changed.m_data_centre == state.m_settings.m_data_centre;
        state.m_address_is_local[changed.m_udp] = local;
        state.m_address_is_local[changed.m_bulk] = local;
    }
    log_event(log_level::info, has_left ? "member_left" : "member_changed",
              {{"member", changed.m_instance},
               {"state", member_state_name(changed.m_state)},
               {"incarnation", changed.m_incarnation},
               {"service", changed.m_service},
               {"version", changed.m_version},
               {"ready", changed.m_ready}});
}

// Compares the member tables with another member and merges the differences in both directions.
void compare_tables(control& state, const std::string& instance) {
    const tracked_member* peer = find_member(state.m_members, instance);
    if (peer == nullptr) {
        return;
    }
    const ip_endpoint to = peer->m_member.m_bulk;
    const members_digest_request request{state.m_settings.m_instance,
                                         member_bucket_hashes(state.m_members)};
    send_bulk(state, to, request, [&state, to](const std::optional<bulk_reply>& reply) {
        const auto* digest = reply ? std::get_if<members_digest_reply>(&*reply) : nullptr;
        if (digest == nullptr || digest->m_differing_buckets.empty()) {
            return;
        }
        merge_members_request own{members_in_buckets(state.m_members, digest->m_differing_buckets)};
        perform(state, membership_merge(state.m_members, digest->m_members, state.now()));
        send_bulk(state, to, own, [](const std::optional<bulk_reply>&) {});
    });
}

} // namespace

void perform(control& state, std::span<const membership_action> actions) {
    for (const membership_action& action : actions) {
        switch (action.m_kind) {
        case membership_action::kind::send:
            send_packet(state, action);
            break;
        case membership_action::kind::member_changed:
            state.m_snapshot_dirty = true;
            handle_member_change(state, action.m_instance);
            break;
        case membership_action::kind::version_reported:
            handle_peer_version(state, action.m_instance, action.m_config_version);
            break;
        case membership_action::kind::facts_differ:
            exchange_facts(state, action.m_instance, [] {});
            break;
        case membership_action::kind::facts_received:
            merge_facts(state, action.m_packet.m_suspensions, action.m_packet.m_records, true);
            break;
        case membership_action::kind::compare_tables:
            compare_tables(state, action.m_instance);
            break;
        }
    }
}

void receive_datagram(control& state, const ip_endpoint& from, std::string_view bytes) {
    error reason;
    const auto received = decode_packet(bytes, reason);
    if (!received) {
        log_event(log_level::warning, "packet_dropped", {{"reason", reason.m_text}});
        return;
    }
    perform(state, membership_receive(state.m_members, *received, from, state.now()));
}

std::string serve_bulk(control& state, std::string_view request) {
    error reason;
    const auto decoded = decode_request(request, reason);
    if (!decoded) {
        log_event(log_level::warning, "request_dropped", {{"reason", reason.m_text}});
        return encode_reply(reason.m_kind);
    }
    std::string reply = encode_reply(std::visit(bulk_request_handler{state}, *decoded));
    state.m_metrics->moved_bytes().add(std::visit(purpose_of{}, *decoded), byte_scope::served,
                                       request.size() + reply.size());
    return reply;
}

void send_bulk(control& state, const ip_endpoint& to, const bulk_request& request,
               std::function<void(std::optional<bulk_reply>)> done) {
    const byte_purpose purpose = std::visit(purpose_of{}, request);
    const byte_scope scope = scope_of(state, to);
    const std::string encoded = encode_request(request);
    state.m_metrics->moved_bytes().add(purpose, scope, encoded.size());
    state.m_bulk->request(
        to, encoded, state.m_settings.m_fetch_timeout,
        [&state, purpose, scope, done = std::move(done)](error_kind kind, std::string_view bytes) {
            state.m_metrics->moved_bytes().add(purpose, scope, bytes.size());
            error reason;
            done(kind == error_kind::none ? decode_reply(bytes, reason) : std::nullopt);
        });
}

void tick_gossip(control& state, time_point now) {
    perform(state, membership_tick(state.m_members, now));
}

facts_message collect_facts(const control& state) {
    facts_message out;
    for (const auto& [id, value] : state.m_facts.m_suspensions) {
        out.m_suspensions.push_back(value);
    }
    for (const auto& [service, value] : state.m_facts.m_records) {
        out.m_records.push_back(value);
    }
    out.m_kept_items = state.m_kept_items.m_table;
    return out;
}

void update_facts_digest(control& state) {
    state.m_members.m_facts_digest =
        facts_digest(state.m_facts) + kept_items_digest(state.m_kept_items.m_table);
}

void exchange_facts(control& state, const std::string& instance, std::function<void()> done) {
    const auto found = state.m_members.m_members.find(instance);
    if (found == state.m_members.m_members.end() ||
        !state.m_facts_fetching.insert(instance).second) {
        return;
    }
    const facts_message own = collect_facts(state);
    send_bulk(state, found->second.m_member.m_bulk, own,
              [&state, instance, done = std::move(done)](const std::optional<bulk_reply>& reply) {
                  state.m_facts_fetching.erase(instance);
                  const auto* facts = reply ? std::get_if<facts_message>(&*reply) : nullptr;
                  if (facts != nullptr) {
                      receive_facts(state, *facts, true);
                      done();
                  }
              });
}

void receive_facts(control& state, const facts_message& facts, bool spread) {
    merge_kept_items(state, facts.m_kept_items);
    merge_facts(state, facts.m_suspensions, facts.m_records, spread);
}

void merge_facts(control& state, std::span<const suspension> suspensions,
                 std::span<const move_record> records, bool spread) {
    std::vector<suspension> new_suspensions;
    std::vector<move_record> new_records;
    for (const suspension& value : suspensions) {
        if (merge_suspension(state.m_facts, value)) {
            new_suspensions.push_back(value);
            record_fact(state, value);
            log_event(log_level::warning, "version_suspended",
                      {{"move", value.m_move_id},
                       {"service", value.m_service},
                       {"version", value.m_version},
                       {"seen_by", value.m_instance},
                       {"reason", value.m_reason}});
        }
    }
    for (const move_record& value : records) {
        if (merge_record(state.m_facts, value)) {
            new_records.push_back(value);
            record_fact(state, value);
            log_event(log_level::info, "move_learnt",
                      {{"service", value.m_service},
                       {"move", value.m_move_id},
                       {"state", move_state_name(value.m_state)},
                       {"weight_permille", value.m_weight_permille},
                       {"revision", value.m_revision}});
        }
    }
    if (new_suspensions.empty() && new_records.empty()) {
        return;
    }
    update_facts_digest(state);
    state.m_snapshot_dirty = true;
    if (spread) {
        perform(state, membership_spread_facts(state.m_members, new_suspensions, new_records,
                                               state.now()));
    }
}

bool is_candidate(const control& state, std::string_view role, std::size_t candidates,
                  const std::function<bool(const member&)>& filter) {
    const std::uint64_t own = rendezvous_weight(role, state.m_settings.m_instance);
    std::size_t higher_ranked = 0;
    for (const member* other : live_members(state.m_members)) {
        if (filter(*other) && rendezvous_weight(role, other->m_instance) > own) {
            ++higher_ranked;
        }
    }
    return higher_ranked < candidates;
}

} // namespace caraway
