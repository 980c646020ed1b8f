// Publisher and subscriber over loopback sockets in one reactor.
#define BOOST_TEST_MODULE link
#include "feed/publisher.hpp"
#include "feed/socket_link.hpp"
#include "feed/subscriber.hpp"
#include "lab/reactor_script.hpp"
#include "transport/listener.hpp"

#include <array>
#include <boost/test/included/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace ivyrill;
using namespace ivyrill::feed;
using lab::ReactorScript;
using model::Instance;
using transport::Done;

constexpr Ticks kSilence = 500; // 50 ms
constexpr Ticks kLongSilence = 60 * kTicksPerSecond;

Instance instance(const std::string& id, std::uint64_t revision = 1) {
    Instance record;
    record.id = id, record.service = "model", record.address = "10.0.0.1:80", record.revision = revision;
    return record;
}

// A publisher with its own address and log.
struct PublishingNode {
    PublishingNode(transport::Reactor& reactor, std::uint64_t feed, Publisher::Options options = {},
                   Publisher::Callbacks callbacks = {})
        : log(feed), publisher(reactor, log, options, std::move(callbacks)),
          listener(reactor, "127.0.0.1:0", [this, &reactor](int descriptor) {
              ++connections;
              publisher.accept(accept_socket(reactor, descriptor));
          }) {}
    std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }
    void put(Item item) {
        log.put(std::move(item));
        publisher.publish();
    }
    FeedLog log;
    Publisher publisher;
    int connections = 0;
    transport::Listener listener;
};

struct SubscribingNode {
    SubscribingNode(transport::Reactor& reactor, std::vector<std::string> publishers,
                    Subscriber::Options options = {}, std::function<std::int64_t()> time_of_day = {})
        : network(reactor),
          subscriber(reactor, network, named(options),
                     {[publishers] { return publishers; },
                      [this](const Tables::Applied& applied) { batches.push_back(applied); },
                      [this] { ++ended; }, [this] { ++synchronizations; },
                      [this](const clock::FleetTime& time) { times.push_back(time); },
                      std::move(time_of_day)}) {
        subscriber.start();
    }
    static Subscriber::Options named(Subscriber::Options options) {
        options.node = {"edge-1", "a", "127.0.0.1", 1};
        options.initial_backoff = options.max_backoff = 20;
        return options;
    }
    bool knows(const std::string& id) { return subscriber.tables().instances().find(id) != nullptr; }
    std::vector<Tables::Applied> batches;
    int ended = 0, synchronizations = 0;
    std::vector<clock::FleetTime> times; // fleet times that were received
    SocketNetwork network;
    Subscriber subscriber;
};

// A peer that sends arbitrary bytes through a plain non-blocking socket.
class RawPeer {
  public:
    explicit RawPeer(transport::Reactor& reactor, const std::string& address)
        : stream_(reactor.loop(), transport::connect_to(address), transport::Stream::Start::kConnecting,
                  1 << 20, 1 << 20) {}
    bool send(std::string_view bytes) { return stream_.send(bytes); }
    bool send(const Message& message) { return send(wire::frame(wire::to_bytes(message))); }
    bool up() const { return stream_.established(); }
    bool ended() const { return stream_.ended(); }
    std::optional<Message> next() {
        if (!reader_.complete() && stream_.unread()) stream_.feed(reader_);
        if (!reader_.complete()) return std::nullopt;
        auto read = wire::from_bytes<Message>(reader_.take());
        return read.has_value() ? std::optional(std::move(read.value())) : std::nullopt;
    }

  private:
    transport::Stream stream_;
    wire::FrameReader reader_;
};

Subscribe subscription(std::uint64_t feed_id = 0, std::uint64_t sequence = 0) {
    Subscribe message;
    message.node = {"edge-2", "a", "127.0.0.1", 2};
    message.feed_id = feed_id, message.sequence = sequence;
    return message;
}

// A connected socket with bytes of the other side already waiting.
int connection_with(std::string_view bytes, int& other_side) {
    int ends[2];
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    BOOST_REQUIRE(write(ends[1], bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    other_side = ends[1];
    return ends[0];
}

} // namespace

// Regression: a link that read within its constructor called its owner before the owner held the link, which
// crashed agents (exit status 139).
BOOST_AUTO_TEST_CASE(bytes_received_with_the_connection_are_delivered_after_start) {
    ReactorScript script;
    FeedLog log(7);
    log.put(instance("i-1"));
    Publisher publisher(script.reactor, log, {}, {});
    int other = -1;
    const std::string first = wire::frame(wire::to_bytes(Message{subscription()}));
    publisher.accept(accept_socket(script.reactor, connection_with(first, other)));
    script.run([&]() -> ReactorScript::Step {
        const bool member =
            co_await script.until([&] { return !publisher.sessions().empty(); }, kTicksPerSecond);
        BOOST_TEST(member);
        std::string received;
        const bool is_received = co_await script.until([&] {
            char bytes[4096];
            const ssize_t count = read(other, bytes, sizeof bytes);
            if (count > 0) received.append(bytes, static_cast<std::size_t>(count));
            return !received.empty();
        });
        BOOST_TEST(is_received);
        co_return Done{};
    });
    close(other);
}

BOOST_AUTO_TEST_CASE(link_delivers_nothing_before_it_is_started) {
    ReactorScript script;
    int other = -1, received = 0, ended = 0;
    const std::string first = wire::frame(wire::to_bytes(Message{Heartbeat{1}}));
    Link::Callbacks callbacks;
    callbacks.received = [&](const Message&) { ++received; };
    callbacks.ended = [&](const std::string&) { ++ended; };
    SocketLink link(script.reactor, connection_with(first + first, other),
                    transport::Stream::Start::kConnected, 0, std::move(callbacks));
    BOOST_TEST(received == 0);
    close(other);
    script.run([&]() -> ReactorScript::Step {
        // Reading does not start by itself in later turns either, although the bytes and the end have
        // arrived.
        int turns = 0;
        co_await script.until([&] { return ++turns > 3; });
        BOOST_TEST((received == 0 && ended == 0));
        link.start();
        const bool has_ended = co_await script.until([&] { return ended == 1; });
        BOOST_TEST(has_ended);
        BOOST_TEST(received == 2);
        co_return Done{};
    });
}

// Data that is not a valid message ends the link, after the owner was given the error.
BOOST_AUTO_TEST_CASE(unreadable_data_ends_the_link_and_is_reported_by_kind) {
    std::string other_version = wire::frame(wire::to_bytes(Message{Heartbeat{1}}));
    other_version[4] = static_cast<char>(wire::kProtocolVersion + 1);
    struct Case {
        std::string bytes;
        ErrorKind kind;
    };
    const std::vector<Case> cases{
        {other_version, ErrorKind::kOtherVersion},
        {wire::frame("no message"), ErrorKind::kProtocol},
        {std::string(5, static_cast<char>(wire::kProtocolVersion)), ErrorKind::kProtocol}};
    for (const Case& test_case : cases) {
        ReactorScript script;
        int other = -1, ended = 0, received = 0;
        std::vector<ErrorKind> errors;
        Link::Callbacks callbacks;
        callbacks.received = [&](const Message&) { ++received; };
        callbacks.unreadable = [&](const Error& error) { errors.push_back(error.kind); };
        callbacks.ended = [&](const std::string&) { ++ended; };
        SocketLink link(script.reactor, connection_with(test_case.bytes, other),
                        transport::Stream::Start::kConnected, 0, std::move(callbacks));
        link.start();
        script.run([&]() -> ReactorScript::Step {
            const bool has_ended = co_await script.until([&] { return ended == 1; });
            BOOST_TEST(has_ended);
            co_return Done{};
        });
        BOOST_TEST((errors == std::vector<ErrorKind>{test_case.kind}));
        BOOST_TEST(received == 0);
        close(other);
    }
}

BOOST_AUTO_TEST_CASE(subscriber_starts_from_a_snapshot_and_follows_changes) {
    ReactorScript script;
    PublishingNode node(script.reactor, 7);
    node.put(instance("i-1"));
    SubscribingNode subscriber_node(script.reactor, {node.address()});
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return subscriber_node.knows("i-1"); });
        BOOST_TEST(holds);
        BOOST_TEST(subscriber_node.subscriber.tables().feed_id() == 7U);
        for (std::int64_t version = 1; version <= 3; ++version) {
            model::Configuration configuration;
            configuration.version = version;
            node.put(configuration);
        }
        holds = co_await script.until([&] {
            const auto current = subscriber_node.subscriber.tables().configuration();
            return current && current->version == 3;
        });
        BOOST_TEST(holds);
        BOOST_TEST(subscriber_node.subscriber.tables().sequence() == node.log.sequence());
        BOOST_TEST(node.publisher.sessions().size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(after_a_lost_link_only_newer_items_are_sent) {
    ReactorScript script;
    PublishingNode node(script.reactor, 7);
    for (int i = 0; i < 20; ++i) node.put(instance("i-" + std::to_string(i)));
    SubscribingNode subscriber_node(script.reactor, {node.address()});
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return subscriber_node.knows("i-19"); });
        BOOST_TEST(holds);
        node.publisher.close_all("test");
        node.log.put(instance("i-20"));
        subscriber_node.batches.clear();
        holds = co_await script.until([&] { return subscriber_node.knows("i-20"); });
        BOOST_TEST(holds);
        BOOST_TEST(node.connections == 2);
        BOOST_TEST(subscriber_node.ended == 1);
        BOOST_REQUIRE(!subscriber_node.batches.empty());
        BOOST_TEST(subscriber_node.batches.front().changes.size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(uncovered_sequence_number_is_answered_with_a_snapshot) {
    ReactorScript script;
    PublishingNode node(script.reactor, 7);
    for (int i = 0; i < 5; ++i) node.put(instance("i-" + std::to_string(i)));
    node.log.forget_instance("i-3");
    RawPeer resumes(script.reactor, node.address()), too_old(script.reactor, node.address()),
        of_another_feed(script.reactor, node.address());
    script.run([&]() -> ReactorScript::Step {
        const bool up =
            co_await script.until([&] { return resumes.up() && too_old.up() && of_another_feed.up(); });
        BOOST_REQUIRE(up);
        resumes.send(subscription(7, 4));
        too_old.send(subscription(7, 3));
        of_another_feed.send(subscription(8, 4));
        std::optional<Message> answers[3];
        RawPeer* peers[] = {&resumes, &too_old, &of_another_feed};
        const bool answered = co_await script.until([&] {
            bool all = true;
            for (int i = 0; i < 3; ++i) {
                if (!answers[i]) answers[i] = peers[i]->next();
                all = all && answers[i].has_value();
            }
            return all;
        });
        BOOST_REQUIRE(answered);
        const Batch &resumed = std::get<Batch>(*answers[0]), &uncovered = std::get<Batch>(*answers[1]),
                    &other = std::get<Batch>(*answers[2]);
        BOOST_TEST((!resumed.snapshot && resumed.items.size() == 1U));
        BOOST_TEST((uncovered.snapshot && uncovered.items.size() == 4U));
        BOOST_TEST((other.snapshot && other.items.size() == 4U));
        for (const Batch* batch : {&resumed, &uncovered, &other})
            BOOST_TEST((batch->feed_id == 7U && batch->sequence == 5U));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(empty_publisher_receives_its_subscribers_records) {
    ReactorScript script;
    InstanceTable known;
    Publisher::Callbacks callbacks;
    callbacks.digests = [&] { return known.digests(); };
    PublishingNode* publishing_node = nullptr;
    callbacks.instances = [&](const std::vector<Instance>& records) {
        for (const Instance& record : records)
            if (known.merge(record, 0)) publishing_node->log.put(record);
        publishing_node->publisher.publish();
    };
    PublishingNode second_node(script.reactor, 8, {}, callbacks);
    publishing_node = &second_node;
    auto first_node = std::make_unique<PublishingNode>(script.reactor, 7);
    for (int i = 0; i < 40; ++i) first_node->put(instance("i-" + std::to_string(i)));
    Subscriber::Options options;
    options.offers_records = true;
    SubscribingNode subscriber_node(script.reactor, {first_node->address(), second_node.address()}, options);
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return subscriber_node.knows("i-39"); });
        BOOST_TEST(holds);
        BOOST_TEST(subscriber_node.subscriber.tables().feed_id() == 7U);
        first_node.reset();
        holds = co_await script.until([&] { return subscriber_node.subscriber.tables().feed_id() == 8U; });
        BOOST_TEST(holds);
        BOOST_TEST(known.records().size() == 40U);
        // The second publisher's snapshot lists all of them, so the subscriber never loses one.
        for (int i = 0; i < 40; ++i) BOOST_TEST(subscriber_node.knows("i-" + std::to_string(i)));
        for (const auto& batch : subscriber_node.batches)
            for (const Item& item : batch.changes) BOOST_TEST(!std::holds_alternative<InstanceRemoved>(item));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(publisher_with_equal_records_requests_nothing) {
    ReactorScript script;
    InstanceTable known;
    known.merge(instance("i-1"), 0);
    Publisher::Callbacks callbacks;
    callbacks.digests = [&] { return known.digests(); };
    callbacks.instances = [&](const std::vector<Instance>&) { BOOST_TEST(false); };
    PublishingNode node(script.reactor, 8, {}, callbacks);
    RawPeer peer(script.reactor, node.address());
    script.run([&]() -> ReactorScript::Step {
        const bool up = co_await script.until([&] { return peer.up(); });
        BOOST_REQUIRE(up);
        Subscribe message = subscription();
        message.instances = known.digests();
        peer.send(message);
        std::optional<Message> answer;
        const bool answered = co_await script.until([&] { return (answer = peer.next()).has_value(); });
        BOOST_REQUIRE(answered);
        BOOST_TEST(std::holds_alternative<Batch>(*answer));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(invalid_subscriber_loses_only_its_own_link) {
    std::string corrupt = wire::frame(wire::to_bytes(Message{subscription()}));
    corrupt[5] = '\x7f';
    std::string other_version = wire::frame("x");
    other_version[4] = 2;
    const std::string unasked = wire::frame(wire::to_bytes(Message{Heartbeat{}}));
    const std::string subscribed = wire::frame(wire::to_bytes(Message{subscription()}));
    const std::string publishers = wire::frame(wire::to_bytes(Message{Batch{}}));
    const std::string oversized("\xff\xff\xff\xff\x01", 5);
    for (const std::string& bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"), corrupt, other_version, unasked, oversized,
          std::string(64, '\0'), subscribed + publishers, subscribed + corrupt}) {
        ReactorScript script;
        PublishingNode node(script.reactor, 7);
        SubscribingNode subscriber_node(script.reactor, {node.address()});
        RawPeer peer(script.reactor, node.address());
        script.run([&]() -> ReactorScript::Step {
            bool holds =
                co_await script.until([&] { return peer.up() && subscriber_node.subscriber.connected(); });
            BOOST_REQUIRE(holds);
            peer.send(bytes);
            holds = co_await script.until([&] { return peer.ended(); });
            BOOST_TEST(holds);
            node.put(instance("i-1"));
            holds = co_await script.until([&] { return subscriber_node.knows("i-1"); });
            BOOST_TEST(holds);
            BOOST_TEST(subscriber_node.ended == 0);
            BOOST_TEST(node.publisher.sessions().size() == 1U);
            co_return Done{};
        });
    }
}

BOOST_AUTO_TEST_CASE(subscriber_leaves_an_invalid_publisher) {
    std::string corrupt = wire::frame(wire::to_bytes(Message{Batch{}}));
    corrupt.back() = '\x7f';
    for (const std::string& bytes : {std::string("HTTP/1.1 400 Bad\r\n\r\n"), corrupt,
                                     wire::frame(wire::to_bytes(Message{subscription()}))}) {
        ReactorScript script;
        PublishingNode node(script.reactor, 7);
        std::vector<std::unique_ptr<transport::Stream>> connections;
        transport::Listener invalid_publisher(script.reactor, "127.0.0.1:0", [&](int descriptor) {
            connections.push_back(std::make_unique<transport::Stream>(
                script.reactor.loop(), descriptor, transport::Stream::Start::kConnected, 4096, 4096));
            connections.back()->send(bytes);
        });
        node.put(instance("i-1"));
        SubscribingNode subscriber_node(
            script.reactor, {"127.0.0.1:" + std::to_string(invalid_publisher.port()), node.address()});
        script.run([&]() -> ReactorScript::Step {
            const bool holds = co_await script.until([&] { return subscriber_node.knows("i-1"); });
            BOOST_TEST(holds);
            BOOST_TEST(connections.size() == 1U);
            co_return Done{};
        });
    }
}

BOOST_AUTO_TEST_CASE(refused_subscriber_tries_the_next_address_and_returns_later) {
    ReactorScript script;
    bool is_refusing = true;
    Publisher::Callbacks callbacks;
    callbacks.refuse = [&]() -> std::optional<std::string> {
        return is_refusing ? std::optional<std::string>("cut off") : std::nullopt;
    };
    PublishingNode first(script.reactor, 7, {}, callbacks), second(script.reactor, 8);
    SubscribingNode subscriber_node(script.reactor,
                                    {"127.0.0.1:1", "no address", first.address(), second.address()});
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return subscriber_node.subscriber.connected(); });
        BOOST_TEST(holds);
        BOOST_TEST(subscriber_node.subscriber.publisher() == second.address());
        BOOST_TEST(first.publisher.sessions().empty());
        is_refusing = false;
        second.publisher.close_all("test");
        holds = co_await script.until([&] { return subscriber_node.subscriber.tables().feed_id() == 7U; });
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(silence_ends_a_link_on_either_side) {
    ReactorScript script;
    Publisher::Options options;
    options.silence = kSilence;
    PublishingNode node(script.reactor, 7, options);
    std::vector<std::unique_ptr<transport::Stream>> connections;
    transport::Listener silent_publisher(script.reactor, "127.0.0.1:0", [&](int descriptor) {
        connections.push_back(std::make_unique<transport::Stream>(
            script.reactor.loop(), descriptor, transport::Stream::Start::kConnected, 4096, 4096));
    });
    RawPeer peer(script.reactor, node.address());
    Subscriber::Options subscriber_options;
    subscriber_options.silence = kSilence, subscriber_options.connect_timeout = kLongSilence;
    SubscribingNode subscriber_node(script.reactor, {"127.0.0.1:" + std::to_string(silent_publisher.port())},
                                    subscriber_options);
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return peer.up(); });
        BOOST_TEST(holds);
        peer.send(subscription());
        const Ticks started_at = script.reactor.now();
        holds = co_await script.until([&] { return node.publisher.sessions().size() == 1U; });
        BOOST_TEST(holds);
        holds = co_await script.until([&] { return peer.ended(); });
        BOOST_TEST(holds);
        BOOST_TEST(script.reactor.now() - started_at >= kSilence);
        BOOST_TEST(node.publisher.sessions().empty());
        holds =
            co_await script.until([&] { return connections.size() >= 2; }); // it disconnected and reconnected
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(heartbeats_alone_keep_a_session_up) {
    ReactorScript script;
    Publisher::Options options;
    options.silence = kSilence, options.heartbeat = kSilence / 5;
    PublishingNode node(script.reactor, 7, options);
    Subscriber::Options heartbeat_options;
    heartbeat_options.silence = kSilence, heartbeat_options.heartbeat = kSilence / 5;
    SubscribingNode subscriber_node(script.reactor, {node.address()}, heartbeat_options);
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return subscriber_node.subscriber.connected(); });
        BOOST_TEST(holds);
        const Ticks until = script.reactor.now() + 4 * kSilence;
        holds = co_await script.until([&] { return script.reactor.now() >= until; });
        BOOST_TEST(holds);
        BOOST_TEST(subscriber_node.ended == 0);
        BOOST_TEST(node.connections == 1);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(inapplicable_batch_is_followed_by_a_snapshot_on_the_same_link) {
    ReactorScript script;
    std::unique_ptr<Link> link;
    std::vector<Subscribe> requests;
    transport::Listener publisher(script.reactor, "127.0.0.1:0", [&](int descriptor) {
        Link::Callbacks callbacks;
        callbacks.received = [&](const Message& message) {
            const auto* subscribe = std::get_if<Subscribe>(&message);
            if (subscribe == nullptr) return;
            requests.push_back(*subscribe);
            ConfigurationChange inapplicable;
            inapplicable.base_version = 4, inapplicable.version = 5;
            if (requests.size() == 1) link->send(Batch{7, 3, true, {instance("i-1")}});
            if (requests.size() == 1) link->send(Batch{7, 4, false, {instance("i-2"), inapplicable}});
            if (requests.size() == 2) link->send(Batch{7, 4, true, {instance("i-1"), instance("i-3")}});
        };
        callbacks.ended = [](const std::string&) {};
        link = std::make_unique<SocketLink>(script.reactor, descriptor, transport::Stream::Start::kConnected,
                                            0, std::move(callbacks));
        link->start();
    });
    SubscribingNode subscriber_node(script.reactor, {"127.0.0.1:" + std::to_string(publisher.port())});
    script.run([&]() -> ReactorScript::Step {
        const bool holds = co_await script.until([&] { return subscriber_node.knows("i-3"); });
        BOOST_TEST(holds);
        BOOST_TEST(!subscriber_node.knows("i-2"));
        BOOST_REQUIRE(requests.size() == 2U);
        BOOST_TEST((requests[1].feed_id == 0U && requests[1].sequence == 0U));
        BOOST_TEST(subscriber_node.ended == 0);
        co_return Done{};
    });
}

// Regression: a partitioned control node that told its agents to use another one crashed (exit status 139):
// the notice did not fit into the send buffer of one agent, which ended that link and freed a subscriber that
// was still in use.
BOOST_AUTO_TEST_CASE(oversized_refusal_ends_only_its_own_subscriber) {
    ReactorScript script;
    FeedLog log(7);
    Publisher publisher(script.reactor, log, {}, {});
    int one = -1, other = -1;
    const std::string first = wire::frame(wire::to_bytes(Message{subscription()}));
    publisher.accept(accept_socket(script.reactor, connection_with(first, one)));
    publisher.accept(accept_socket(script.reactor, connection_with(first, other)));
    script.run([&]() -> ReactorScript::Step {
        const bool members = co_await script.until([&] { return publisher.sessions().size() == 2; });
        BOOST_TEST(members);
        const std::string reason(40 * 1024 * 1024, 'x');
        publisher.close_all(reason);
        BOOST_TEST(publisher.sessions().empty());
        const bool is_stable = co_await script.until([&] { return publisher.sessions().empty(); });
        BOOST_TEST(is_stable);
        co_return Done{};
    });
    close(one);
    close(other);
}

// Callers rely on it that a failed send has sent nothing: a stream takes bytes as a whole or not at all.
BOOST_AUTO_TEST_CASE(send_beyond_the_buffer_writes_no_byte) {
    ReactorScript script;
    constexpr std::size_t kBufferBytes = 1000;
    int ends[2];
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    transport::Stream stream(script.reactor.loop(), ends[0], transport::Stream::Start::kConnected,
                             kBufferBytes, kBufferBytes);
    const auto read_all = [&] {
        std::string all;
        std::array<char, 4096> part{};
        for (ssize_t got; (got = read(ends[1], part.data(), part.size())) > 0;)
            all.append(part.data(), static_cast<std::size_t>(got));
        return all;
    };
    script.run([&]() -> ReactorScript::Step {
        BOOST_TEST(!stream.send(std::string(kBufferBytes + 1, 'x')));
        int turns = 0;
        co_await script.until([&] { return ++turns > 5; });
        BOOST_TEST(read_all().empty());
        BOOST_TEST(stream.send("first "));
        BOOST_TEST(!stream.send(std::string(kBufferBytes + 1, 'x')));
        BOOST_TEST(stream.send("second"));
        std::string all;
        const bool holds = co_await script.until([&] { return (all += read_all()).size() >= 12; });
        BOOST_TEST(holds);
        BOOST_TEST(all == "first second");
        co_return Done{};
    });
    close(ends[1]);
}

BOOST_AUTO_TEST_CASE(fleet_time_is_sent_at_once_and_again_between_batches) {
    constexpr std::int64_t kTime = 1'767'225'600'000;
    ReactorScript script;
    Publisher::Options options;
    options.heartbeat = 100;
    Publisher::Callbacks callbacks;
    callbacks.fleet_time = [] { return clock::FleetTime{kTime, 7}; };
    PublishingNode publisher_node(script.reactor, 7, options, std::move(callbacks));
    publisher_node.log.put(instance("i-1"));
    SubscribingNode subscriber_node(script.reactor, {publisher_node.address()});
    script.run([&]() -> ReactorScript::Step {
        const bool is_received = co_await script.until([&] { return !subscriber_node.times.empty(); }, 500);
        BOOST_TEST(is_received);
        BOOST_TEST(subscriber_node.times.front().unix_ms == kTime);
        BOOST_TEST(subscriber_node.times.front().error_ms == 7);
        BOOST_TEST(subscriber_node.synchronizations == 1);
        // Continuous batches leave no idle time for a regular heartbeat.
        std::uint64_t revision = 1;
        const bool is_received_again = co_await script.until([&] {
            publisher_node.log.put(instance("i-1", ++revision));
            publisher_node.publisher.publish();
            return subscriber_node.times.size() >= 2;
        });
        BOOST_TEST(is_received_again);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(time_of_day_and_counts_of_a_subscriber_reach_its_publisher) {
    constexpr std::int64_t kTime = 1'767'225'600'000;
    ReactorScript script;
    std::int64_t time_of_day = 0;
    std::vector<model::ProcessUsage> counts;
    Publisher::Callbacks callbacks;
    callbacks.time_of_day = [&](const std::string& node, std::int64_t unix_ms) {
        BOOST_TEST(node == "edge-1");
        time_of_day = unix_ms;
    };
    callbacks.usage = [&](const std::vector<model::ProcessUsage>& usage) { counts = usage; };
    PublishingNode publisher_node(script.reactor, 7, {}, std::move(callbacks));
    publisher_node.log.put(instance("i-1"));
    Subscriber::Options options;
    options.heartbeat = 100;
    SubscribingNode subscriber_node(script.reactor, {publisher_node.address()}, options,
                                    [] { return kTime; });
    const model::ProcessUsage usage{77, 353'445'120, {{"nowu640", 412}}, 412, kTime, false};
    script.run([&]() -> ReactorScript::Step {
        const bool is_received = co_await script.until([&] { return time_of_day != 0; });
        BOOST_TEST(is_received);
        BOOST_TEST(time_of_day == kTime);
        subscriber_node.subscriber.send(UsageCounts{{usage}});
        const bool counted = co_await script.until([&] { return !counts.empty(); });
        BOOST_TEST(counted);
        BOOST_TEST((counts == std::vector<model::ProcessUsage>{usage}));
        co_return Done{};
    });
}
