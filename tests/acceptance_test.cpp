// Tests the accepter's decision and the encoding of the accepted record.
#include <string>

#include "base/hash.hpp"
#include "decide/configuration/acceptance.hpp"
#include "tests/node_schedule.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

constexpr wall_time now{std::chrono::seconds{1'800'000'000}};

// A minimal valid text.
const std::string valid_text = R"(format = 1
name = "nilegrid"

[data_centre.luxor]
out = false

[service.survey]
version = "1"

[[route]]
path = "/survey"
service = "survey"
timeout = "2s"
idempotent = true
)";

accepted_record sample_record() {
    return {7, 41, 0xfedcba9876543210ULL, "node \"a\"", 1'800'000'000'123, {5, 0x9fULL}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(acceptance)

// Guards against a record that loses bits of the hash, and against a damaged record that is decoded
// as valid.
BOOST_AUTO_TEST_CASE(record_round_trips_and_refuses_damage) {
    const accepted_record record = sample_record();
    const std::string encoded = encode_accepted(record);
    error reason;
    BOOST_TEST((decode_accepted(encoded, reason) == record));
    accepted_record whole = record;
    whole.m_base = {};
    BOOST_TEST((decode_accepted(encode_accepted(whole), reason) == whole));
    BOOST_TEST(encoded.find('\n') == std::string::npos);
    BOOST_TEST(text_key(7, record.m_hash) == "caraway/accepted-text/7-fedcba9876543210");
    for (std::size_t length = 0; length < encoded.size(); ++length) {
        BOOST_TEST(!decode_accepted(encoded.substr(0, length), reason));
        BOOST_TEST((reason.m_kind == error_kind::invalid_text));
    }
    for (const std::string_view damaged :
         {R"({"version":-1,"source_revision":1,"hash":"1","accepter":"a","accepted_ms":1})",
          R"({"version":1,"source_revision":1,"hash":"xyz","accepter":"a","accepted_ms":1})",
          R"({"version":1,"source_revision":1,"hash":12,"accepter":"a","accepted_ms":1})",
          R"({"version":1,"source_revision":1,"hash":"1","accepted_ms":1})",
          R"({"version":1,"source_revision":1,"hash":"1","accepter":"a","accepted_ms":1,)"
          R"("base_version":1,"base_hash":"1"})",
          R"({"version":2,"source_revision":1,"hash":"1","accepter":"a","accepted_ms":1,)"
          R"("base_version":1})",
          R"([1])"}) {
        BOOST_TEST(!decode_accepted(damaged, reason), damaged);
    }
}

// Guards against a text that is accepted in part, evaluated twice, or older than the one in force.
BOOST_AUTO_TEST_CASE(text_is_accepted_whole_or_refused_once) {
    using kind = acceptance_decision::kind;
    std::vector<text_fault> faults;
    const auto parsed = parse_mesh(valid_text, now, nullptr, faults);
    BOOST_REQUIRE(parsed.has_value());
    const auto first = decide_acceptance(valid_text, 5, std::nullopt, nullptr, 0, "node-1", now);
    BOOST_REQUIRE((first.m_kind == kind::accept));
    BOOST_TEST(first.m_record->m_version == 1U);
    BOOST_TEST(first.m_record->m_source_revision == 5U);
    BOOST_TEST(first.m_record->m_hash == hash_bytes(valid_text));
    const auto decide = [&](std::string_view text, std::uint64_t revision, std::uint64_t refused) {
        return decide_acceptance(text, revision, first.m_record, &*parsed, refused, "node-1", now);
    };
    BOOST_TEST((decide(valid_text, 5, 0).m_kind == kind::nothing));
    BOOST_TEST((decide(valid_text, 4, 0).m_kind == kind::nothing));
    BOOST_TEST((decide(valid_text, 9, 9).m_kind == kind::nothing));
    const auto next = decide(valid_text, 9, 8);
    BOOST_REQUIRE((next.m_kind == kind::accept));
    BOOST_TEST(next.m_record->m_version == 2U);
    const auto refused =
        decide(valid_text + "[[route]]\npath = \"/x\"\nservice = \"none\"\n", 9, 0);
    BOOST_TEST((refused.m_kind == kind::refuse));
    BOOST_TEST(!refused.m_record.has_value());
    BOOST_TEST(!refused.m_faults.empty());
}

// Guards against the removal of a value that is needed to restore the committed text, or that a
// reader one version behind still fetches, whichever versions were stored in full.
BOOST_AUTO_TEST_CASE(values_that_restore_a_late_readers_text_are_kept) {
    constexpr std::size_t text_bytes = 1'000'000;
    random_source random(7);
    accepted_record committed;
    for (std::uint64_t version = 1; version < 500; ++version) {
        const accepted_record before = committed;
        const text_id base = before.m_version == 0 ? text_id{} : full_text_of(before);
        const std::size_t delta = random() % 8 == 0 ? text_bytes : 500;
        committed = {version, version, version, "a", 0, {}};
        if (!should_store_full(version, base.m_version, delta, text_bytes)) {
            committed.m_base = base;
        }
        BOOST_TEST(version - full_text_of(committed).m_version < 8U);
        for (const accepted_record& record : {committed, before}) {
            const text_id whole = full_text_of(record);
            BOOST_TEST(!is_obsolete_key(text_key(whole.m_version, whole.m_hash), committed));
            BOOST_TEST(!is_obsolete_key(delta_key(record.m_version, record.m_hash), committed));
        }
        if (version > 16) {
            BOOST_TEST(is_obsolete_key(text_key(version - 16, 1), committed));
            BOOST_TEST(is_obsolete_key(delta_key(version - 16, 1), committed));
        }
    }
    BOOST_TEST(!is_obsolete_key("caraway/text", committed));
    BOOST_TEST(!is_obsolete_key("caraway/accepted-text/x", committed));
}

// Guards against a text without a delta that is never evaluated or is evaluated with another text's
// delta, and against a text that is read twice.
BOOST_AUTO_TEST_CASE(submitted_text_is_read_once_and_whole_only_without_its_delta) {
    using std::chrono::milliseconds;
    BOOST_TEST((choose_text_source({}, 0, 0, 0, {}) == text_source::nothing));
    BOOST_TEST((choose_text_source({9, 10}, 9, 0, 0, {}) == text_source::nothing));
    BOOST_TEST((choose_text_source({9, 10}, 0, 9, 0, {}) == text_source::nothing));
    BOOST_TEST((choose_text_source({9, 10}, 5, 5, 0, {}) == text_source::delta));
    BOOST_TEST((choose_text_source({9, 6}, 5, 5, 0, {}) == text_source::wait));
    BOOST_TEST((choose_text_source({9, 10}, 5, 5, 10, milliseconds{249}) == text_source::wait));
    BOOST_TEST((choose_text_source({9, 10}, 5, 5, 10, milliseconds{250}) == text_source::full));
}

BOOST_AUTO_TEST_SUITE_END()
