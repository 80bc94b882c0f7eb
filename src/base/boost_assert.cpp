// Handler of failed assertions in Boost's headers (BOOST_ENABLE_ASSERT_HANDLER).
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include <boost/assert.hpp>

namespace boost {

// Prints the assertion and ends the process, except for one assertion of Beast's HTTP parser that
// is wrong: if the last chunk of an empty body arrives as "0 CR LF" and then a single byte, n is 4.
// The code that follows handles this, and any sender could end the process with it.
void assertion_failed(const char* expression, const char* function, const char* file, long line) {
    if (std::string_view(expression) == "n >= 5" &&
        std::string_view(function).find("parse_chunk_header") != std::string_view::npos) {
        return;
    }
    std::fprintf(stderr, "%s:%ld: %s: assertion failed: %s\n", file, line, function, expression);
    std::abort();
}

// As above, for an assertion with a message.
void assertion_failed_msg(const char* expression, const char* message, const char* function,
                          const char* file, long line) {
    std::fprintf(stderr, "%s:%ld: %s: assertion failed: %s: %s\n", file, line, function, expression,
                 message);
    std::abort();
}

} // namespace boost
