// Tests of the check of an answer's head and of what an answer says about the request.
#include "http/server_answer.hpp"
#include "platform/platform_adapter.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

// Returns an answer with these headers, in the platform's names.
http_response make_answer(unsigned status,
                          const std::vector<std::pair<const char*, const char*>>& headers) {
    http_response answer;
    answer.result(status);
    for (const auto& [name, value] : headers) {
        answer.set(name, value);
    }
    return answer;
}

http_request make_request() {
    http_request request;
    request.set("X-Carawaytray-Attempt-Id", "7");
    request.set("X-Carawaytray-Expected-Instance", "i-1");
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_answer)

// Guards against an answer that is taken for that of another request, and against a misdirected
// request that waits for its deadline because the 421 has no number.
BOOST_AUTO_TEST_CASE(answers_are_related_by_number_or_connection) {
    const edge_headers edge = platform::make_edge_headers();
    const http_request request = make_request();
    const auto match = [&](const http_response& answer, bool first_request) {
        return match_answer(edge, answer, request, first_request);
    };
    const auto own = make_answer(200, {{"X-Carawaytray-Attempt-Id", "7"}});
    const auto other = make_answer(503, {{"X-Carawaytray-Attempt-Id", "6"}});
    const auto unnamed = make_answer(503, {{"X-Carawaytray-Not-Executed", "1"}});
    for (const bool first_request : {true, false}) {
        BOOST_TEST((match(own, first_request) == answer_match::own));
        BOOST_TEST((match(other, first_request) == answer_match::other));
    }
    BOOST_TEST((match(unnamed, true) == answer_match::own));
    BOOST_TEST((match(unnamed, false) == answer_match::unclear));
    const auto another_server = make_answer(421, {{"X-Carawaytray-Instance-Id", "i-2"}});
    const auto expected_server = make_answer(421, {{"X-Carawaytray-Instance-Id", "i-1"}});
    BOOST_TEST((match(another_server, false) == answer_match::own));
    BOOST_TEST((match(expected_server, false) == answer_match::unclear));
    BOOST_TEST((match(make_answer(421, {}), false) == answer_match::unclear));
}

// Guards against "not run" for an answer that doesn't say so of this request.
BOOST_AUTO_TEST_CASE(only_attributed_refusals_mean_not_run) {
    const edge_headers edge = platform::make_edge_headers();
    const auto reason = [&edge](const http_response& answer, answer_match match) {
        const auto found = rejection_reason(edge, answer, match);
        return found ? found->m_kind : error_kind::none;
    };
    const auto refusal = make_answer(503, {{"X-Carawaytray-Not-Executed", "1"}});
    BOOST_TEST((reason(refusal, answer_match::own) == error_kind::backend_shed));
    BOOST_TEST((reason(refusal, answer_match::unclear) == error_kind::connection_cut));
    const auto misdirected = make_answer(421, {});
    BOOST_TEST((reason(misdirected, answer_match::own) == error_kind::version_not_served));
    BOOST_TEST((reason(misdirected, answer_match::unclear) == error_kind::connection_cut));
    BOOST_TEST((reason(make_answer(200, {}), answer_match::own) == error_kind::connection_cut));
    const auto sealed = make_answer(500, {{"X-Carawaytray-Server-Seal", "s"}});
    BOOST_TEST((reason(sealed, answer_match::own) == error_kind::none));
}

// Guards against a head that must not be passed on and is: an invalid status, framing that the next
// hop reads differently, or a body where none is allowed.
BOOST_AUTO_TEST_CASE(invalid_heads_are_found) {
    const auto valid = [](const std::string& description, unsigned version = 11) {
        http_response answer;
        answer.version(version);
        answer.result(static_cast<unsigned>(std::stoul(description.substr(0, 3))));
        if (description.find(" length") != std::string::npos) {
            answer.set(http::field::content_length, "5");
        }
        if (description.find(" zero") != std::string::npos) {
            answer.set(http::field::content_length, "0");
        }
        if (description.find(" chunked") != std::string::npos) {
            answer.insert(http::field::transfer_encoding, "Chunked");
        }
        if (description.find(" gzip") != std::string::npos) {
            answer.insert(http::field::transfer_encoding, "gzip");
        }
        return head_fault(answer).empty();
    };
    for (const char* head :
         {"000", "099", "600", "999", "101", "200 length chunked", "200 length gzip", "200 gzip",
          "200 chunked gzip", "204 length", "204 chunked", "103 length", "304 gzip"}) {
        BOOST_TEST(!valid(head), head);
    }
    for (const char* head : {"100", "103", "200", "200 length", "200 chunked", "204", "204 zero",
                             "304", "304 length", "304 chunked", "404", "599"}) {
        BOOST_TEST(valid(head), head);
    }
    BOOST_TEST(valid("200 length", 10));
    BOOST_TEST(!valid("200 chunked", 10));
}

BOOST_AUTO_TEST_SUITE_END()
