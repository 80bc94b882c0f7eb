// Tests of the reading of answers: limits and framing, for every split of the bytes.
#include <cctype>

#include "tests/fuzz/answer_pieces.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr exchange_limits test_limits{300, 100};
constexpr std::string_view ok_head = "HTTP/1.1 200 OK\r\n";

// Reads the bytes in one piece, in every split into two, byte by byte and, for the ends, in every
// split into three. Checks that the result is always the same, and returns it.
read_result read_all_splits(std::string_view bytes, bool closed = false,
                            http::verb method = http::verb::get,
                            const exchange_limits& limits = test_limits) {
    read_result whole = read_pieces({bytes}, closed, method, limits);
    std::vector<std::string_view> single;
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        single.push_back(bytes.substr(i, 1));
        const std::string_view rest = bytes.substr(i);
        BOOST_TEST(read_pieces({bytes.substr(0, i), rest}, closed, method, limits) == whole);
        for (std::size_t k = 1; k < std::min<std::size_t>(rest.size(), 8); ++k) {
            BOOST_TEST(read_pieces({bytes.substr(0, i), rest.substr(0, k), rest.substr(k)}, closed,
                                   method, limits) == whole);
        }
    }
    BOOST_TEST(read_pieces(single, closed, method, limits) == whole);
    return whole;
}

error_kind reason_of(std::string_view lines_and_body) {
    const read_result result = read_all_splits(std::string(ok_head) + std::string(lines_and_body));
    BOOST_TEST(!(result.m_done && result.m_reason != error_kind::none));
    return result.m_reason;
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_reading)

// Guards against an answer whose result depends on how its bytes are split.
BOOST_AUTO_TEST_CASE(valid_answers_are_read_in_every_split) {
    const auto with_length =
        read_all_splits("HTTP/1.1 201 Made\r\nContent-Length: 5\r\nx-a: b\r\n\r\nhello");
    BOOST_TEST((with_length == read_result{{}, true, true, 201, "hello"}));
    const auto chunked = read_all_splits("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
                                         "2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nx-trailer: 1\r\n\r\n");
    BOOST_TEST((chunked == read_result{{}, true, true, 200, "hello"}));
    const auto until_close = read_all_splits("HTTP/1.1 200 OK\r\n\r\nhello", true);
    BOOST_TEST((until_close == read_result{{}, true, false, 200, "hello"}));
    BOOST_TEST(read_all_splits("HTTP/1.1 204 None\r\n\r\n").m_kept);
    BOOST_TEST(read_all_splits("HTTP/1.1 204 None\r\nContent-Length: 0\r\n\r\n").m_kept);
    // The same length twice is not contradictory.
    BOOST_TEST(
        (reason_of("Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello") == error_kind::none));
}

// Guards against a process that a server ends: the last chunk of an empty body in pieces of three
// bytes and one fails an assertion of the parser.
BOOST_AUTO_TEST_CASE(empty_chunked_body_is_read_in_every_split) {
    const std::string_view text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    BOOST_TEST((read_all_splits(text) == read_result{{}, true, true, 200, ""}));
    // The connection ends within the last chunk.
    BOOST_TEST(!read_all_splits(text.substr(0, text.size() - 1), true).m_done);
}

// Guards against an invalid status that reaches a caller.
BOOST_AUTO_TEST_CASE(invalid_statuses_are_rejected) {
    for (const char* status : {"000", "001", "099", "600", "999", "20", "2000", "-20", "2x0", "101",
                               "+20", " 20", "0x2", ""}) {
        const std::string text =
            std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
        BOOST_TEST((read_all_splits(text).m_reason == error_kind::answer_invalid), status);
    }
    for (const char* status : {"200", "299", "307", "404", "599"}) {
        const std::string text =
            std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nok";
        BOOST_TEST((read_all_splits(text).m_reason == error_kind::none), status);
    }
}

// Guards against framing that a node and the next hop read differently.
BOOST_AUTO_TEST_CASE(contradictory_framing_is_rejected) {
    for (const char* lines : {"Content-Length: 5\r\nContent-Length: 6\r\n",
                              "Content-Length: 5, 6\r\n",
                              "Content-Length: +5\r\n",
                              "Content-Length: -5\r\n",
                              "Content-Length: 0x5\r\n",
                              "Content-Length: 5a\r\n",
                              "Content-Length: \r\n",
                              "Content-Length: 5 5\r\n",
                              "Content-Length: 99999999999999999999\r\n",
                              "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                              "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                              "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n",
                              "Transfer-Encoding: gzip\r\n",
                              "Transfer-Encoding: gzip, chunked\r\n",
                              "Transfer-Encoding: chunked, chunked\r\n",
                              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                              "Transfer-Encoding: \r\n",
                              "x-odd: a\x01z\r\nContent-Length: 5\r\n",
                              "x-odd: a\x7fz\r\nContent-Length: 5\r\n",
                              "x-odd: a\rz\r\nContent-Length: 5\r\n",
                              "x-odd: a\nz\r\nContent-Length: 5\r\n",
                              "x odd: a\r\nContent-Length: 5\r\n",
                              ": a\r\nContent-Length: 5\r\n"}) {
        const auto reason = reason_of(std::string(lines) + "\r\n5\r\nhello\r\n0\r\n\r\n");
        BOOST_TEST((reason == error_kind::answer_invalid), lines);
    }
    BOOST_TEST((reason_of(std::string("x-odd: a\0z\r\nContent-Length: 0\r\n\r\n", 33)) ==
                error_kind::answer_invalid));
    for (const char* chunk :
         {"-5\r\nhello", "0x5\r\nhello", "g\r\nhello", "\r\nhello", "fffffffffffffffff\r\nhello",
          "2\r\nhello", "5\rhello", "5 \r\nhello", "5;\r\nhello", "5;a=\x01\r\nhello"}) {
        const auto reason =
            reason_of("Transfer-Encoding: chunked\r\n\r\n" + std::string(chunk) + "\r\n0\r\n\r\n");
        BOOST_TEST((reason == error_kind::answer_invalid), chunk);
    }
    // A trailer can't change the framing.
    BOOST_TEST((reason_of("Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 5\r\n\r\n") ==
                error_kind::answer_invalid));
}

// Guards against a field whose name has a byte that no name may have, and that the caller gets or
// that another reader takes for the framing. All bytes are tried, at all places of a name.
BOOST_AUTO_TEST_CASE(invalid_field_names_are_rejected) {
    const auto may_be_in_name = [](char byte) {
        return std::isalnum(static_cast<unsigned char>(byte)) != 0 ||
               std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
    };
    struct place {
        std::string m_before, m_after;
    };
    const std::string chunks = "5\r\nhello\r\n0\r\n";
    const std::vector<place> places{
        {"", "x-odd: 5\r\nContent-Length: 5\r\n\r\nhello"}, // first line
        {"Content-Length: 5\r\n", "x-odd: 5\r\n\r\nhello"},
        {"Content-Length: 5\r\nx-", "odd: 5\r\n\r\nhello"},
        {"Content-Length: 5\r\nx-odd", ": 5\r\n\r\nhello"},
        // Framing that the node doesn't see as such.
        {"x-a: b\r\n", "Content-Length: 3\r\n\r\nhello"},
        {"Content", "Length: 3\r\n\r\nhello"},
        {"Content-Length", ": 3\r\n\r\nhello"},
        {"x-a: b\r\n", "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
        {"Transfer-Encoding", ": chunked\r\n\r\n" + chunks + "\r\n"},
        // Trailer.
        {"Transfer-Encoding: chunked\r\n\r\n" + chunks, "x-odd: 5\r\n\r\n"},
        {"Transfer-Encoding: chunked\r\n\r\n" + chunks + "x-a: b\r\n", "x-odd: 5\r\n\r\n"}};
    for (int value = 0; value < 256; ++value) {
        const char byte = static_cast<char>(value);
        if (byte == ':') {
            continue; // ends the name
        }
        for (const place& one : places) {
            const std::string text = std::string(ok_head) + one.m_before + byte + one.m_after;
            // The connection ends after the answer, which completes one without a length.
            const read_result result = read_all_splits(text, true);
            BOOST_TEST(((result.m_reason == error_kind::none) == may_be_in_name(byte)),
                       "byte " << value << " between '" << one.m_before << "' and '" << one.m_after
                               << "': " << result);
        }
    }
    // A line that begins with blanks continues the value of the line before it, for some readers.
    for (const char* blanks : {" ", "\t", "  ", " \t", " \r\n "}) {
        for (const char* field :
             {"Content-Length: 3", "Transfer-Encoding: chunked", "x-odd: 1", ""}) {
            const auto reason = reason_of("x-a: b\r\n" + std::string(blanks) + field +
                                          "\r\nContent-Length: 5\r\n\r\nhello");
            BOOST_TEST((reason == error_kind::answer_invalid), blanks << field);
        }
    }
}

// Guards against body bytes that are taken for the next answer on the connection.
BOOST_AUTO_TEST_CASE(bodies_where_none_is_allowed_end_the_connection) {
    const std::string length = "Content-Length: 5\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& declared : {length, chunked}) {
        for (const char* status : {"100", "103", "204"}) {
            const std::string text = std::string("HTTP/1.1 ") + status + " Odd\r\n" + declared;
            BOOST_TEST((read_all_splits(text).m_reason == error_kind::answer_invalid), text);
        }
        // These state what a GET would return. A faulty server may send it all the same.
        const auto same = read_all_splits("HTTP/1.1 304 Same\r\n" + declared);
        BOOST_TEST((same == read_result{{}, true, false, 304, ""}));
        const auto head = read_all_splits(std::string(ok_head) + declared, false, http::verb::head);
        BOOST_TEST((head == read_result{{}, true, false, 200, ""}));
    }
    // Undeclared bytes are left in the buffer, and the connection with them is closed.
    BOOST_TEST(read_pieces({"HTTP/1.1 204 None\r\n\r\nhello"}, false, http::verb::get, test_limits)
                   .m_left == 5U);
    BOOST_TEST(read_all_splits("HTTP/1.1 304 Same\r\n\r\n").m_kept);
    BOOST_TEST(
        read_all_splits(std::string(ok_head) + "Content-Length: 0\r\n\r\n", false, http::verb::head)
            .m_kept);
}

// Guards against a head, a line, a body or framing without end that fills the memory or is read for
// as long as the call lasts.
BOOST_AUTO_TEST_CASE(endless_answers_are_rejected_within_their_limits) {
    const std::string chunked = std::string(ok_head) + "Transfer-Encoding: chunked\r\n\r\n";
    struct endless {
        const char* m_name;
        std::string m_start, m_more;
        error_kind m_reason;
    };
    const std::vector<endless> cases{
        {"lines", std::string(ok_head), "x-more: aaaaaaaa\r\n", error_kind::answer_invalid},
        {"line", std::string(ok_head) + "x: ", "a", error_kind::answer_invalid},
        {"reason", "HTTP/1.1 200 ", "a", error_kind::answer_invalid},
        {"name", std::string(ok_head), "a", error_kind::answer_invalid},
        {"chunks", chunked, "5\r\nhello\r\n", error_kind::answer_too_large},
        {"body", std::string(ok_head) + "\r\n", "hello", error_kind::answer_too_large},
        {"size", chunked, "0", error_kind::answer_invalid},
        {"extension", chunked + "1;a=", "a", error_kind::answer_invalid},
        {"extensions", chunked, "1;a=aaaaaaaaaaaaaaaaaaaa\r\nx\r\n", error_kind::answer_invalid},
        {"trailer", chunked + "0\r\n", "x-more: aaaaaaaa\r\n", error_kind::answer_invalid},
        {"trailer line", chunked + "0\r\nx: ", "a", error_kind::answer_invalid}};
    for (const endless& one : cases) {
        // Pieces of whole lines, of single bytes, and of many lines at once.
        for (const std::size_t size : {one.m_more.size(), std::size_t{1}, std::size_t{333}}) {
            std::string text = one.m_start;
            while (text.size() < 3'000) {
                text += one.m_more;
            }
            std::vector<std::string_view> pieces{
                std::string_view(text).substr(0, one.m_start.size())};
            for (std::size_t at = one.m_start.size(); at < text.size(); at += size) {
                pieces.push_back(std::string_view(text).substr(at, size));
            }
            const read_result result = read_pieces(pieces, false, http::verb::get, test_limits);
            BOOST_TEST((result.m_reason == one.m_reason), one.m_name << " " << size);
            BOOST_TEST(result.m_held <= max_held_bytes(test_limits, size),
                       one.m_name << " " << size);
        }
    }
}

// Guards against limits that reject an ordinary answer: a body of one-byte chunks, and a head and a
// body of exactly the allowed size.
BOOST_AUTO_TEST_CASE(answers_within_the_limits_are_accepted) {
    std::string chunks = std::string(ok_head) + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::uint64_t i = 0; i < test_limits.m_max_body_bytes; ++i) {
        chunks += "1\r\nx\r\n";
    }
    BOOST_TEST(read_all_splits(chunks + "0\r\n\r\n").m_body.size() == test_limits.m_max_body_bytes);
    const std::string end = "\r\nContent-Length: 100\r\n\r\n";
    std::string head = std::string(ok_head) + "x: ";
    head.append(test_limits.m_max_header_bytes - head.size() - end.size(), 'a');
    const std::string body(test_limits.m_max_body_bytes, 'b');
    BOOST_TEST(read_all_splits(head + end + body).m_done);
    BOOST_TEST((read_all_splits(head + "a" + end + body).m_reason == error_kind::answer_invalid));
    BOOST_TEST((reason_of("Content-Length: 101\r\n\r\n") == error_kind::answer_too_large));
}

BOOST_AUTO_TEST_SUITE_END()
