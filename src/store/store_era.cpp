#include "store/store_era.hpp"

#include <charconv>

#include "store/store_version.hpp"

namespace caraway {
namespace {

bool is_watch(store_operation operation) {
    return operation == store_operation::watch || operation == store_operation::watch_keys;
}

bool is_list(store_operation operation) {
    return operation == store_operation::list || operation == store_operation::list_keys;
}

bool is_conditional_write(const store_command& command) {
    return command.m_if_revision && (command.m_operation == store_operation::put ||
                                     command.m_operation == store_operation::remove);
}

store_reply failed_reply(error_kind kind, std::string_view text) {
    store_reply reply;
    reply.m_kind = kind;
    reply.m_text = text;
    return reply;
}

} // namespace

std::optional<std::uint64_t> parse_era(std::string_view header) {
    if (header.empty()) {
        return 0;
    }
    std::uint64_t era = 0;
    const auto parsed = std::from_chars(header.data(), header.data() + header.size(), era);
    const bool complete =
        parsed.ec == std::errc{} && parsed.ptr == header.data() + header.size() && era <= max_era;
    return complete ? std::optional(era) : std::nullopt;
}

std::optional<store_reply> refuse_outdated(const store_command& command, std::uint64_t era) {
    const std::uint64_t fence_version = command.m_fence.m_version;
    if (fence_version != 0 && era_of(fence_version) != era) {
        return failed_reply(error_kind::store_conflict, "fence of an earlier era");
    }
    // The condition 0, which requires that the key is absent, names no revision.
    if (is_conditional_write(command) && *command.m_if_revision != 0 &&
        era_of(*command.m_if_revision) != era) {
        return failed_reply(error_kind::store_conflict, "condition of an earlier era");
    }
    if (is_watch(command.m_operation) && era_of(command.m_revision) != era) {
        return failed_reply(error_kind::store_not_found, "watch from an earlier era");
    }
    return std::nullopt;
}

store_command with_revisions(store_command command) {
    if (command.m_if_revision) {
        command.m_if_revision = revision_of(*command.m_if_revision);
    }
    command.m_revision = revision_of(command.m_revision);
    command.m_fence.m_version = revision_of(command.m_fence.m_version);
    return command;
}

store_reply reply_in_era(const store_command& command, store_reply reply, std::uint64_t sent_era,
                         std::uint64_t answer_era, std::uint64_t current_era) {
    if (answer_era < current_era) {
        return failed_reply(is_read(command.m_operation) ? error_kind::store_unreachable
                                                         : error_kind::store_outcome_unknown,
                            "answer of an earlier era");
    }
    const bool answered = reply.m_kind == error_kind::none;
    if (answered && answer_era != sent_era && is_conditional_write(command)) {
        return failed_reply(error_kind::store_conflict, "the store was restored meanwhile");
    }
    if (answered && answer_era != sent_era && is_watch(command.m_operation)) {
        return failed_reply(error_kind::store_not_found, "the store was restored meanwhile");
    }
    // 0 is not a revision but says that a key is absent, except as the revision of an empty store.
    if (reply.m_revision != 0 || is_list(command.m_operation)) {
        reply.m_revision = make_version(answer_era, reply.m_revision);
    }
    for (store_entry& entry : reply.m_entries) {
        entry.m_revision = make_version(answer_era, entry.m_revision);
    }
    return reply;
}

} // namespace caraway
