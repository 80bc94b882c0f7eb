// Offline check of the guarantees against the log lines of any number of processes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace caraway {

// Time after a leave, a data centre's removal or a suspension in which new work may still start.
constexpr milliseconds audit_grace_period{3'000};

// Offending lines kept for printing; more are only counted.
constexpr std::size_t max_audit_breaches = 1'000;

// One line that breaks a guarantee.
struct audit_breach {
    std::string m_file;
    std::uint64_t m_line = 0; // from 1
    std::string m_kind;       // stable word, as version-fell
    std::string m_text;
};

struct audit_report {
    std::uint64_t m_lines = 0;
    std::uint64_t m_unreadable_lines =
        0; // lines that are no JSON objects with a possible time and an event
    std::uint64_t m_start_count = 0; // backend_call_started
    std::uint64_t m_end_count = 0;   // call_ended at the entry side
    std::uint64_t m_breach_count = 0;
    std::vector<audit_breach> m_breaches;
    std::vector<std::string> m_missing_files; // files that can't be read
};

// Reads the files once, merged by the time of their lines, and checks every line. Memory grows with
// the number of different requests and keys (about 100 bytes each), not with the lines.
audit_report audit_logs(const std::vector<std::string>& files);

} // namespace caraway
