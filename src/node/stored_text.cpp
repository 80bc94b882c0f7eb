#include <utility>

#include "base/hash.hpp"
#include "node/control.hpp"

namespace caraway {
namespace {

// Restores the record's text from its delta. Returns null if this node doesn't hold the base or if
// the delta doesn't restore this text.
std::shared_ptr<const std::string> restore_text(const control& state, const accepted_record& record,
                                                const packed_text& delta) {
    const auto base = find_text(state, delta.m_base_version);
    if (!base || delta.m_hash != record.m_hash) {
        return nullptr;
    }
    error reason;
    auto text = unpack_text(delta, *base, reason);
    return text ? std::make_shared<const std::string>(std::move(*text)) : nullptr;
}

// Reads the full text that `record` refers to, and restores the record's text from it with `delta`.
// `delta` may be empty if the record's text is itself stored in full.
void read_full_text(control& state, const accepted_record& record, std::optional<packed_text> delta,
                    text_callback done) {
    const text_id full_text_id = full_text_of(record);
    state.m_store->get(text_key(full_text_id.m_version, full_text_id.m_hash),
                       [&state, record, full_text_id, delta = std::move(delta),
                        done = std::move(done)](const store_reply& reply) {
                           if (reply.m_kind != error_kind::none) {
                               done(reply.m_kind, nullptr);
                               return;
                           }
                           error reason;
                           auto full_text =
                               decode_full_text(reply.m_value, full_text_id.m_hash, reason);
                           if (!full_text) {
                               done(reason.m_kind, nullptr);
                               return;
                           }
                           state.m_full_text = config_text{
                               full_text_id.m_version, full_text_id.m_hash,
                               std::make_shared<const std::string>(std::move(*full_text))};
                           if (full_text_id.m_version == record.m_version) {
                               done(error_kind::none, state.m_full_text->m_text);
                               return;
                           }
                           auto text = delta ? restore_text(state, record, *delta) : nullptr;
                           done(text ? error_kind::none : error_kind::store_not_found, text);
                       });
}

} // namespace

std::shared_ptr<const std::string> find_text(const control& state, std::uint64_t version) {
    if (state.m_full_text && state.m_full_text->m_version == version) {
        return state.m_full_text->m_text;
    }
    const accepter_role& role = state.m_accepter;
    if (role.m_accepted_text && role.m_accepted_text_version == version) {
        return role.m_accepted_text;
    }
    const auto held_text = state.m_distribution.m_texts.find(version);
    return held_text == state.m_distribution.m_texts.end() ? nullptr : held_text->second.m_text;
}

void read_stored_text(control& state, const accepted_record& record, text_callback done) {
    state.m_store->get(
        delta_key(record.m_version, record.m_hash),
        [&state, record, done = std::move(done)](const store_reply& reply) mutable {
            // A text stored in full may have no delta.
            if (reply.m_kind != error_kind::none &&
                (reply.m_kind != error_kind::store_not_found || record.m_base.m_version != 0)) {
                done(reply.m_kind, nullptr);
                return;
            }
            error reason;
            auto delta = reply.m_kind == error_kind::none
                             ? decode_stored_text(reply.m_value, reason)
                             : std::nullopt;
            if (auto text = delta ? restore_text(state, record, *delta) : nullptr) {
                done(error_kind::none, std::move(text));
                return;
            }
            read_full_text(state, record, std::move(delta), std::move(done));
        });
}

} // namespace caraway
