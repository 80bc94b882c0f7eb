#include "observe/text_progress.hpp"

#include <utility>

namespace caraway {

std::string_view text_source_name(text_source_kind value) {
    return value == text_source_kind::store ? "store" : "member";
}

void note_newer_version(text_progress& progress, time_point now) {
    if (!progress.m_behind_since) {
        progress.m_behind_since = now;
    }
}

void note_text_requested(text_progress& progress, time_point now) {
    progress.m_requested = now;
}

void note_text_received(text_progress& progress, std::uint64_t version, text_source_kind source,
                        time_point now) {
    note_newer_version(progress, now);
    text_times times{now, now, {}, source};
    if (source == text_source_kind::member && progress.m_requested) {
        times.m_fetch = now - *std::exchange(progress.m_requested, std::nullopt);
    }
    progress.m_texts.insert_or_assign(version, times);
    if (progress.m_texts.size() > max_measured_texts) {
        progress.m_texts.erase(progress.m_texts.begin());
    }
}

void note_text_parsed(text_progress& progress, std::uint64_t version, time_point now) {
    const auto found = progress.m_texts.find(version);
    if (found != progress.m_texts.end()) {
        found->second.m_parsed = now;
    }
}

text_phases finish_text(text_progress& progress, std::uint64_t version, bool is_latest,
                        time_point now) {
    text_phases phases;
    if (progress.m_behind_since) {
        phases.m_behind = now - *progress.m_behind_since;
    }
    const auto found = progress.m_texts.find(version);
    if (found != progress.m_texts.end()) {
        const text_times& times = found->second;
        phases.m_fetch = times.m_fetch;
        phases.m_parse = times.m_parsed - times.m_received;
        phases.m_wait = now - times.m_parsed;
        phases.m_source = times.m_source;
    }
    progress.m_texts.erase(progress.m_texts.begin(), progress.m_texts.upper_bound(version));
    if (is_latest) {
        progress.m_behind_since.reset();
    }
    return phases;
}

} // namespace caraway
