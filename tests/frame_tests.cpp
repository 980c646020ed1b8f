// Tests of frames and of the feed messages in them, with every byte corrupted in turn.
#define BOOST_TEST_MODULE frame
#include "feed/messages.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <algorithm>
#include <boost/test/included/unit_test.hpp>

namespace {

using namespace ivyrill;
using namespace ivyrill::feed;
using wire::FrameReader;

constexpr std::size_t kHeadBytes = 5;
constexpr std::size_t kVersionByte = 4;

model::Configuration configuration() {
    model::Route route;
    route.name = "chat", route.host = "chat.example", route.path_prefix = "/chat/";
    route.kind = model::RouteKind::kStreaming, route.services = {{"model", 0.25}, {"other", 0.75}};
    model::Service service;
    service.name = "model", service.engine = model::Engine{};
    service.engine->models = {"m"};
    return {7, {route}, {service}, {}, {}};
}

model::Instance instance() {
    return {"i-1",
            "model",
            "10.0.0.1:8080",
            "a",
            "v1",
            8,
            model::InstanceState::kDraining,
            model::Stage::kDecode,
            {{"m", 3}},
            70'000};
}

// One message of each kind; the Batch has one item of each kind.
std::vector<Message> each_message() {
    const model::EdgeNode edge{"edge-1", "a", "10.0.0.2", 1ULL << 63U};
    const model::ControlNode control{"10.0.0.3:7000", "b", 9};
    ConfigurationChange change;
    change.base_version = 6, change.version = 7, change.routes = configuration().routes;
    change.removed_services = {"old"};
    Subscribe subscribe;
    subscribe.node = edge, subscribe.feed_id = 5, subscribe.sequence = 300;
    subscribe.instances.ranges = {1, 0, 1ULL << 40U};
    const model::Load load{"i-1", 3, 8, 41'000, 90'000, 12, model::Stage::kPrefill, true};
    const model::ServiceDemand demand{"model", 110.5, 3, 7.25, 0.5, 1.5};
    const StageOrdered ordered{"i-1", model::Stage::kDecode, 13};
    Batch batch{5, 301, true, {}};
    batch.items = {configuration(),         change, instance(),
                   InstanceRemoved{"i-2"},  load,   EdgeNodes{{edge}},
                   ControlNodes{{control}}, ordered};
    const consensus::Message vote{consensus::MemberId{1}, consensus::MemberId{2},
                                  consensus::VoteRequest{9, {7, 300}, true}};
    return {subscribe,
            Instances{{instance()}, false, {8, 2}},
            Loads{{load}},
            Demands{{demand}},
            Heartbeat{300, 1'767'226'500'000, 12},
            RangeRequest{{0, 31}, {8, 2}},
            batch,
            SubscriptionRefused{"this node ends"},
            PeerHello{control, 8, 3, {control}},
            PeerStatus{{control}, {edge}, {{4, 5}}, {demand}, true, true, 1'767'226'500'000, {{0, -2500}}},
            HeartbeatsSeen{{"i-1"}},
            Replicate{{8, 4}, {instance()}, {load}},
            StageOrderNotice{{ordered}},
            Replicated{{8, 4}},
            ForwardedCall{{8, 6}, "PUT", "12", "{}"},
            ForwardedAnswer{{8, 6}, 412, "{}"},
            vote,
            DutyMessage{3, vote},
            UsageCounts{{{77, 353'445'120, {{"nowu640", 412}}, 500, 1'767'225'600'123, true}}},
            UsageRequest{{77, 78}}};
}

bool enums_are_known(const model::Instance& record) {
    return record.state <= model::InstanceState::kGone && record.stage <= model::Stage::kDecode;
}

bool is_known(model::Stage stage) { return stage <= model::Stage::kDecode; }

// Enums are used as indexes, so a decoded value must be a declared one.
bool enums_are_known(const Message& message) {
    if (const auto* known = std::get_if<Instances>(&message))
        return std::ranges::all_of(known->records,
                                   [](const auto& record) { return enums_are_known(record); });
    if (const auto* loads = std::get_if<Loads>(&message))
        return std::ranges::all_of(loads->loads,
                                   [](const model::Load& load) { return is_known(load.stage); });
    if (const auto* ordered = std::get_if<StageOrderNotice>(&message))
        return std::ranges::all_of(ordered->orders, is_known, &StageOrdered::stage);
    const auto* batch = std::get_if<Batch>(&message);
    if (batch == nullptr) return true;
    return std::ranges::all_of(batch->items, [](const Item& item) {
        if (const auto* record = std::get_if<model::Instance>(&item)) return enums_are_known(*record);
        if (const auto* load = std::get_if<model::Load>(&item)) return is_known(load->stage);
        if (const auto* ordered = std::get_if<StageOrdered>(&item)) return is_known(ordered->stage);
        const auto* whole = std::get_if<model::Configuration>(&item);
        return whole == nullptr || std::ranges::all_of(whole->routes, [](const model::Route& route) {
                   return route.kind <= model::RouteKind::kStreaming;
               });
    });
}

std::string framed(std::uint32_t size, std::uint8_t version) {
    std::string head;
    for (int shift = 24; shift >= 0; shift -= 8) head.push_back(static_cast<char>(size >> shift & 0xFFU));
    head.push_back(static_cast<char>(version));
    return head;
}

} // namespace

BOOST_AUTO_TEST_CASE(two_frames_are_read_at_every_split) {
    const std::string first(1, 'a'), second = "of 11 bytes";
    const std::string bytes = wire::frame(first) + wire::frame(second);
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        FrameReader reader;
        std::vector<std::string> read;
        for (std::string_view piece :
             {std::string_view(bytes).substr(0, split), std::string_view(bytes).substr(split)})
            while (!piece.empty()) {
                piece.remove_prefix(reader.feed(piece));
                if (reader.complete()) read.push_back(reader.take());
            }
        BOOST_REQUIRE(!reader.broken());
        BOOST_TEST((read == std::vector<std::string>{first, second}), "split at " << split);
        BOOST_TEST(!reader.complete());
    }
}

BOOST_AUTO_TEST_CASE(a_frame_is_never_complete_before_its_last_byte) {
    const std::string bytes = wire::frame("payload");
    FrameReader reader;
    for (std::size_t i = 0; i + 1 < bytes.size(); ++i) {
        BOOST_TEST(reader.feed(bytes.substr(i, 1)) == 1U);
        BOOST_TEST(!reader.complete());
    }
    reader.feed(bytes.substr(bytes.size() - 1));
    BOOST_TEST(reader.complete());
}

BOOST_AUTO_TEST_CASE(every_other_version_is_rejected) {
    std::string bytes = wire::frame("payload");
    for (int version = 0; version < 256; ++version) {
        bytes[kVersionByte] = static_cast<char>(version);
        FrameReader reader;
        const std::size_t consumed = reader.feed(bytes);
        if (version == wire::kProtocolVersion) {
            BOOST_TEST(reader.complete());
            continue;
        }
        BOOST_REQUIRE(reader.broken());
        BOOST_TEST((reader.broken()->kind == ErrorKind::kOtherVersion));
        BOOST_TEST(consumed == kHeadBytes);
        BOOST_TEST(reader.feed(bytes) == 0U); // nothing more is consumed from such a peer
        BOOST_TEST(!reader.complete());
    }
}

BOOST_AUTO_TEST_CASE(a_frame_that_is_too_large_or_empty_is_rejected_by_its_head) {
    const auto max_size = static_cast<std::uint32_t>(wire::kMaxFrameBytes);
    for (const std::uint32_t size : {0U, max_size + 1, max_size * 2, 0x7FFFFFFFU, 0xFFFFFFFFU}) {
        FrameReader reader;
        reader.feed(framed(size, wire::kProtocolVersion));
        BOOST_REQUIRE(reader.broken().has_value());
        BOOST_TEST((reader.broken()->kind == ErrorKind::kProtocol), "size " << size);
        BOOST_TEST(!reader.complete());
    }
    for (const std::uint32_t size : {1U, max_size}) {
        FrameReader reader;
        reader.feed(framed(size, wire::kProtocolVersion));
        BOOST_TEST(!reader.broken().has_value(), "size " << size);
    }
}

BOOST_AUTO_TEST_CASE(each_message_round_trips) {
    for (const Message& message : each_message()) {
        const std::string bytes = wire::to_bytes(message);
        const auto read = wire::from_bytes<Message>(bytes);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read.value().index() == message.index());
        BOOST_TEST(wire::to_bytes(read.value()) == bytes);
    }
}

BOOST_AUTO_TEST_CASE(a_truncated_message_is_rejected) {
    for (const Message& message : each_message()) {
        const std::string bytes = wire::to_bytes(message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            const auto read = wire::from_bytes<Message>(bytes.substr(0, size));
            BOOST_TEST(read.has_error(), "kind " << message.index() << ", " << size << " bytes");
        }
        BOOST_TEST(wire::from_bytes<Message>(bytes + '\0').has_error());
        BOOST_TEST(wire::from_bytes<Message>(bytes + bytes).has_error());
    }
}

// A corrupted byte of a string or a number may yield another valid message. It must round-trip and must
// differ from the original.
BOOST_AUTO_TEST_CASE(a_corrupted_message_is_rejected_or_is_another_valid_message) {
    for (const Message& message : each_message()) {
        const std::string original = wire::to_bytes(message);
        for (std::size_t i = 0; i < original.size(); ++i)
            for (int value = 0; value < 256; ++value) {
                std::string corrupted = original;
                if (corrupted[i] == static_cast<char>(value)) continue;
                corrupted[i] = static_cast<char>(value);
                const auto read = wire::from_bytes<Message>(corrupted);
                if (read.has_error()) continue;
                const std::string written = wire::to_bytes(read.value());
                const auto decoded_again = wire::from_bytes<Message>(written);
                BOOST_REQUIRE(decoded_again.has_value());
                BOOST_REQUIRE(wire::to_bytes(decoded_again.value()) == written);
                BOOST_REQUIRE_MESSAGE(written != original, "kind " << message.index() << ", byte " << i);
                BOOST_REQUIRE_MESSAGE(enums_are_known(read.value()),
                                      "kind " << message.index() << ", byte " << i << ", value " << value);
            }
    }
}

BOOST_AUTO_TEST_CASE(the_kind_of_a_message_and_the_number_of_its_members_are_exact) {
    constexpr std::size_t kKinds = std::variant_size_v<Message>;
    for (const Message& message : each_message()) {
        std::string bytes = wire::to_bytes(message);
        for (std::size_t kind = kKinds; kind < 24; ++kind) { // a number below 24 is one byte
            bytes[1] = static_cast<char>(kind);
            BOOST_TEST(wire::from_bytes<Message>(bytes).has_error(), "kind " << kind);
        }
        for (const int head : {0x80, 0x81, 0x83}) {
            std::string other = wire::to_bytes(message);
            other[0] = static_cast<char>(head);
            BOOST_TEST(wire::from_bytes<Message>(other).has_error());
        }
        for (const int by : {-1, 1}) {
            std::string other = wire::to_bytes(message);
            other[2] = static_cast<char>(other[2] + by); // members of the struct
            BOOST_TEST(wire::from_bytes<Message>(other).has_error());
        }
    }
}
