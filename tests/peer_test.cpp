// Tests of the message codec and the transports between nodes.
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "base/random.hpp"
#include "config/mesh.hpp"
#include "peer/transport.hpp"
#include "peer/wire.hpp"
#include "tests/support.hpp"

using namespace caraway;

namespace {

member sample_member(int number) {
    member out;
    out.m_instance = fmt::format("instance-{}", number);
    out.m_incarnation = 1'800'000'000'000 + static_cast<std::uint64_t>(number);
    out.m_first_incarnation = 1'700'000'000'000 + static_cast<std::uint64_t>(number);
    out.m_lost_ms = 1'800'000'000'000 + static_cast<std::uint64_t>(number);
    out.m_state = static_cast<member_state>(number % 4);
    out.m_data_centre = "aswan";
    out.m_service = "pour";
    out.m_version = "1";
    out.m_traffic = {"127.0.0.1", 7001};
    out.m_udp = {"10.1.2.3", 7002};
    out.m_bulk = {"::1", 7003};
    out.m_config_version = 17;
    out.m_ready = true;
    out.m_departure = {"i-7", 1'750'000'000'000};
    return out;
}

// Returns a message whose body has the given field number and holds count empty fields with the
// number 2.
std::string message_with_repeated_field(char body_field, std::size_t count) {
    std::string entries;
    for (std::size_t i = 0; i < count; ++i) {
        entries += std::string("\x12\0", 2);
    }
    std::string message(1, static_cast<char>(body_field << 3 | 2));
    for (std::size_t remaining = entries.size(); remaining > 0; remaining >>= 7U) {
        message += static_cast<char>((remaining & 0x7fU) | (remaining > 0x7fU ? 0x80U : 0U));
    }
    return message + entries;
}

// Returns a configuration text of about 400 KB with many services. changed_service gets another
// version.
std::string sample_text(int changed_service) {
    std::string text = "format = 1\n";
    for (int i = 0; i < 4'000; ++i) {
        text += fmt::format("[service.name-{}]\nversion = \"{}\"\nslots = {}\nqueue = 48\n"
                            "depends_on = [\"name-{}\"]\n",
                            i, i == changed_service ? "2" : "1", i % 13, i / 2);
    }
    return text;
}

ip_endpoint local_endpoint(std::uint16_t offset) {
    static std::uint16_t first_port =
        static_cast<std::uint16_t>(31'000 + (hash_bytes(fmt::format("{}", getpid())) % 1'000));
    return {"127.0.0.1", static_cast<std::uint16_t>(first_port + offset)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer)

// Guards against a small message that takes gigabytes when decoded: an empty member takes only 2
// bytes on the wire.
BOOST_AUTO_TEST_CASE(messages_with_more_entries_than_a_node_sends_are_refused) {
    error reason;
    BOOST_TEST(decode_reply(message_with_repeated_field(1, max_members), reason).has_value());
    BOOST_TEST(!decode_reply(message_with_repeated_field(1, 4 * max_members), reason).has_value());
    BOOST_TEST((reason.m_kind == error_kind::peer_bad_message));
    BOOST_TEST(
        !decode_request(message_with_repeated_field(3, 4 * max_members), reason).has_value());
}

// Guards against a limit of entries that rejects a full member table with all facts.
BOOST_AUTO_TEST_CASE(join_reply_of_maximum_size_is_decoded) {
    join_reply sent;
    sent.m_members.assign(max_members, sample_member(1));
    sent.m_suspensions.assign(max_facts, {"m", "s", "2", "i", "r", 1});
    sent.m_records.assign(max_facts, {});
    error reason;
    BOOST_TEST(decode_reply(encode_reply(sent), reason).has_value());
}

// Guards against a field that is not encoded or not decoded.
BOOST_AUTO_TEST_CASE(packets_and_members_round_trip) {
    packet sent;
    sent.m_kind = packet_kind::ping_request;
    sent.m_sequence = 5;
    sent.m_sender = "a";
    sent.m_incarnation = 9;
    sent.m_target = "b";
    sent.m_config_version = 12;
    sent.m_held_version = 13;
    sent.m_facts_digest = 0xfedcba9876543210ULL;
    sent.m_updates = {sample_member(1), sample_member(2)};
    sent.m_suspensions = {{"id", "pour", "2", "a", "reason", 77}};
    move_record record;
    record.m_move_id = "id";
    record.m_state = move_state::taken_back;
    record.m_weight_permille = 250;
    record.m_deadline_ms = 123'456;
    record.m_revision = 8;
    record.m_excluded_versions = {"1", "2"};
    sent.m_records = {record};
    error reason;
    const auto received = decode_packet(encode_packet(sent), reason);
    BOOST_REQUIRE(received);
    BOOST_TEST((received->m_kind == sent.m_kind));
    BOOST_TEST(received->m_target == sent.m_target);
    BOOST_TEST(received->m_held_version == 13U);
    BOOST_TEST(received->m_facts_digest == sent.m_facts_digest);
    BOOST_TEST((received->m_updates == sent.m_updates));
    BOOST_TEST((received->m_suspensions == sent.m_suspensions));
    BOOST_TEST((received->m_records == sent.m_records));
    BOOST_TEST(encode_packet(sent).size() <= estimated_packet_bytes(sent));
    sent.m_records[0].m_excluded_versions.assign(max_excluded_versions + 1, "v");
    BOOST_TEST(!decode_packet(encode_packet(sent), reason).has_value());
}

// Guards against kept items that change on the way, and against a table that no node sends.
BOOST_AUTO_TEST_CASE(kept_items_round_trip) {
    kept_items kept{2, 0x0001000000000009, {}};
    kept.m_items["op/a"] = {5, kept_state::continued, 7, false, std::string("a\0b", 3)};
    kept.m_items["op/b"] = {6, kept_state::unconfirmed, 8, true, {}};
    kept.m_items["op/c"] = {6, kept_state::superseded, 8, false, {}};
    kept.m_items["op/d"] = {6, kept_state::expired, 0, false, {}};
    facts_message facts;
    facts.m_kept_items = kept;
    error reason;
    const auto request = decode_request(encode_request(facts), reason);
    BOOST_REQUIRE(request);
    BOOST_TEST((std::get<facts_message>(*request).m_kept_items == kept));
    join_reply joined;
    joined.m_kept_items = kept;
    const auto reply = decode_reply(encode_reply(joined), reason);
    BOOST_REQUIRE(reply);
    BOOST_TEST((std::get<join_reply>(*reply).m_kept_items == kept));
    for (std::size_t i = 0; i <= max_kept_items; ++i) {
        facts.m_kept_items.m_items[std::to_string(i)] = {};
    }
    const auto too_many = decode_request(encode_request(facts), reason);
    BOOST_REQUIRE(too_many);
    BOOST_TEST((std::get<facts_message>(*too_many).m_kept_items == kept_items{}));
}

// Guards against packets so large that IP fragments them.
BOOST_AUTO_TEST_CASE(packets_stay_within_the_size_limit) {
    packet sent;
    for (int i = 0; i < 100; ++i) {
        sent.m_updates.push_back(sample_member(i));
    }
    BOOST_TEST(encode_packet(sent).size() <= max_packet_bytes);
}

// Guards against sending full texts for small changes, which would exceed the bound on control
// traffic.
BOOST_AUTO_TEST_CASE(deltas_are_small_and_exact) {
    const std::string before = sample_text(-1);
    const std::string after = sample_text(1'234);
    const packed_text delta = pack_text(2, hash_bytes(after), after, 1, before);
    BOOST_TEST(delta.m_compressed.size() < 2'000U);
    error reason;
    const auto restored = unpack_text(delta, before, reason);
    BOOST_REQUIRE(restored);
    BOOST_TEST((*restored == after));
    // A wrong base must never restore another text; the hash detects it.
    const std::string reversed(before.rbegin(), before.rend());
    BOOST_TEST(!unpack_text(delta, reversed, reason));
    packed_text damaged = delta;
    damaged.m_compressed[damaged.m_compressed.size() / 2] ^= 0x20;
    BOOST_TEST(!unpack_text(damaged, before, reason));
}

// Guards against a stored full text that is too large for the store, can't be restored, or is
// accepted as the text of another version.
BOOST_AUTO_TEST_CASE(stored_full_texts_restore_the_text) {
    random_source random(5);
    std::string incompressible(1U << 20U, ' ');
    for (char& byte : incompressible) {
        byte = static_cast<char>(random());
    }
    error reason;
    for (const std::string& text : {sample_text(-1), incompressible, std::string("x")}) {
        const std::string stored = encode_full_text(3, hash_bytes(text), text);
        BOOST_TEST(stored.size() <= text.size());
        BOOST_TEST((decode_full_text(stored, hash_bytes(text), reason) == text));
        BOOST_TEST((decode_full_text(text, hash_bytes(text), reason) == text));
        BOOST_TEST(!decode_full_text(stored, hash_bytes(text) + 1, reason));
        const auto delta = pack_text(4, hash_bytes(text), text, 3, sample_text(1));
        BOOST_TEST(!decode_full_text(encode_stored_text(delta), hash_bytes(text), reason));
    }
}

// Guards against a crash on damaged messages. The seed is fixed so that a failure can be replayed.
BOOST_AUTO_TEST_CASE(damaged_messages_do_not_crash_the_decoder) {
    random_source random(11);
    join_reply reply;
    reply.m_members = {sample_member(1), sample_member(2)};
    const std::string valid = encode_reply(reply);
    for (int round = 0; round < 2'000; ++round) {
        std::string bytes = valid;
        for (int flips = 0; flips < 3; ++flips) {
            bytes[random.below(bytes.size())] = static_cast<char>(random());
        }
        bytes.resize(random.below(bytes.size() + 1));
        error reason;
        (void)decode_reply(bytes, reason);
        (void)decode_request(bytes, reason);
        (void)decode_packet(bytes, reason);
    }
}

// Guards against lost callbacks. Each request gets exactly one callback, even if the peer is
// unreachable, and the transport can be closed with requests in progress.
BOOST_AUTO_TEST_CASE(bulk_requests_complete_exactly_once) {
    boost::asio::io_context context;
    const auto work = boost::asio::make_work_guard(context);
    const auto count = [](std::uint64_t, std::uint64_t) {};
    error reason;
    auto server = bulk_transport::open(
        context, local_endpoint(0),
        [](std::string_view request) { return std::string(request) + "!"; }, count, reason);
    BOOST_REQUIRE_MESSAGE(server, reason.m_text);
    auto client = bulk_transport::open(
        context, local_endpoint(1), [](std::string_view) { return std::string(); }, count, reason);
    BOOST_REQUIRE_MESSAGE(client, reason.m_text);
    int answered = 0;
    int failed = 0;
    for (int i = 0; i < 20; ++i) {
        client->request(local_endpoint(0), "hello", milliseconds{2'000},
                        [&answered](error_kind kind, std::string_view reply) {
                            answered += kind == error_kind::none && reply == "hello!" ? 1 : 0;
                        });
    }
    client->request(local_endpoint(2), "nobody", milliseconds{300},
                    [&failed](error_kind kind, std::string_view) {
                        failed += kind == error_kind::peer_unreachable ? 1 : 0;
                    });
    context.run_for(milliseconds{1'500});
    BOOST_TEST(answered == 20);
    BOOST_TEST(failed == 1);
    client->request(local_endpoint(2), "nobody", milliseconds{300},
                    [&failed](error_kind, std::string_view) { ++failed; });
    client.reset();
    context.restart();
    context.run_for(milliseconds{600});
}

BOOST_AUTO_TEST_SUITE_END()
