// Offline check of the system's guarantees, such as at-most-once execution of non-idempotent
// requests, against the log files of any number of processes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.hpp"

namespace caraway {

// Grace period after an instance leaves, a data centre is taken out or a version is suspended.
// Calls that start within it are no breach.
constexpr milliseconds audit_grace_period{3'000};

// Upper bound of the number of breaches stored for printing. Further breaches are only counted.
constexpr std::size_t max_audit_breaches = 1'000;

// A log line that shows the breach of a guarantee.
struct audit_breach {
    std::string m_file;
    std::uint64_t m_line = 0; // line number, starting at 1
    std::string m_kind;       // stable identifier such as version-fell
    std::string m_text;       // description
};

struct audit_report {
    std::uint64_t m_lines = 0;
    // Lines that are not a JSON object with an event and a valid time.
    std::uint64_t m_unreadable_lines = 0;
    std::uint64_t m_start_count = 0; // backend_call_started events
    std::uint64_t m_end_count = 0;   // call_ended events of the entry side
    std::uint64_t m_breach_count = 0;
    std::vector<audit_breach> m_breaches;
    std::vector<std::string> m_unreadable_files; // files that could not be read
};

// Reads each file once, merges the lines by their time and checks each of them. Memory use grows
// with the number of distinct requests and idempotency keys (about 100 bytes each), not with the
// number of lines. Files that can't be read are listed in the report.
audit_report audit_logs(const std::vector<std::string>& files);

} // namespace caraway
