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

constexpr Tenths kSilence = 500; // 50 ms
constexpr Tenths kLongSilence = 60 * kTenthsPerSecond;

Instance instance(const std::string& id, std::uint64_t revision = 1) {
    Instance record;
    record.id = id, record.service = "model", record.address = "10.0.0.1:80", record.revision = revision;
    return record;
}

// A publisher at an address of its own, with what it was told.
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

struct FollowingNode {
    FollowingNode(transport::Reactor& reactor, std::vector<std::string> publishers,
                  Subscriber::Options options = {}, std::function<std::int64_t()> time_of_day = {})
        : network(reactor),
          subscriber(reactor, network, named(options),
                     {[publishers] { return publishers; },
                      [this](const Tables::Applied& applied) { batches.push_back(applied); },
                      [this] { ++ended; }, [this] { ++began; },
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
    int ended = 0, began = 0;
    std::vector<clock::FleetTime> times; // that it was told
    SocketNetwork network;
    Subscriber subscriber;
};

// A peer that says what a test wants: a socket with plain calls, that blocks nowhere.
class RawPeer {
  public:
    explicit RawPeer(transport::Reactor& reactor, const std::string& address)
        : stream_(reactor.loop(), transport::connect_to(address), transport::Stream::Start::kConnecting,
                  1 << 20, 1 << 20) {}
    bool say(std::string_view bytes) { return stream_.send(bytes); }
    bool say(const Message& message) { return say(wire::frame(wire::to_bytes(message))); }
    bool up() const { return stream_.up(); }
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

Subscribe subscription(std::uint64_t feed = 0, std::uint64_t place = 0) {
    Subscribe message;
    message.node = {"edge-2", "a", "127.0.0.1", 2};
    message.feed_id = feed, message.sequence = place;
    return message;
}

// Connected, with bytes of the other side waiting already.
int connection_with(std::string_view bytes, int& other_side) {
    int ends[2];
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    BOOST_REQUIRE(write(ends[1], bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    other_side = ends[1];
    return ends[0];
}

} // namespace

// A link that read within its constructor told its owner before the owner held it, which ended agents with
// 139.
BOOST_AUTO_TEST_CASE(bytes_that_come_with_the_connection_find_their_owner_ready) {
    ReactorScript script;
    FeedLog log(7);
    log.put(instance("i-1"));
    Publisher publisher(script.reactor, log, {}, {});
    int other = -1;
    const std::string first = wire::frame(wire::to_bytes(Message{subscription()}));
    publisher.accept(accept_socket(script.reactor, connection_with(first, other)));
    script.run([&]() -> ReactorScript::Step {
        const bool member =
            co_await script.until([&] { return !publisher.sessions().empty(); }, kTenthsPerSecond);
        BOOST_TEST(member);
        std::string came;
        const bool told = co_await script.until([&] {
            char bytes[4096];
            const ssize_t count = read(other, bytes, sizeof bytes);
            if (count > 0) came.append(bytes, static_cast<std::size_t>(count));
            return !came.empty();
        });
        BOOST_TEST(told);
        co_return Done{};
    });
    close(other);
}

BOOST_AUTO_TEST_CASE(a_link_tells_nothing_before_it_is_started) {
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
        // It is not started in this turn either, though its bytes and its end have come.
        int looks = 0;
        co_await script.until([&] { return ++looks > 3; });
        BOOST_TEST((received == 0 && ended == 0));
        link.start();
        const bool over = co_await script.until([&] { return ended == 1; });
        BOOST_TEST(over);
        BOOST_TEST(received == 2);
        co_return Done{};
    });
}

// Whatever a peer sends that is no message ends its link, after the owner was told why.
BOOST_AUTO_TEST_CASE(what_cannot_be_read_ends_its_link_and_is_told_by_kind) {
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
    for (const Case& given : cases) {
        ReactorScript script;
        int other = -1, ended = 0, received = 0;
        std::vector<ErrorKind> told;
        Link::Callbacks callbacks;
        callbacks.received = [&](const Message&) { ++received; };
        callbacks.unreadable = [&](const Error& error) { told.push_back(error.kind); };
        callbacks.ended = [&](const std::string&) { ++ended; };
        SocketLink link(script.reactor, connection_with(given.bytes, other),
                        transport::Stream::Start::kConnected, 0, std::move(callbacks));
        link.start();
        script.run([&]() -> ReactorScript::Step {
            const bool over = co_await script.until([&] { return ended == 1; });
            BOOST_TEST(over);
            co_return Done{};
        });
        BOOST_TEST((told == std::vector<ErrorKind>{given.kind}));
        BOOST_TEST(received == 0);
        close(other);
    }
}

BOOST_AUTO_TEST_CASE(a_subscriber_starts_from_a_snapshot_and_follows_each_change) {
    ReactorScript script;
    PublishingNode node(script.reactor, 7);
    node.put(instance("i-1"));
    FollowingNode follower(script.reactor, {node.address()});
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return follower.knows("i-1"); });
        BOOST_TEST(holds);
        BOOST_TEST(follower.subscriber.tables().feed_id() == 7U);
        for (std::int64_t version = 1; version <= 3; ++version) {
            model::Configuration configuration;
            configuration.version = version;
            node.put(configuration);
        }
        holds = co_await script.until([&] {
            const auto held = follower.subscriber.tables().configuration();
            return held && held->version == 3;
        });
        BOOST_TEST(holds);
        BOOST_TEST(follower.subscriber.tables().sequence() == node.log.sequence());
        BOOST_TEST(node.publisher.sessions().size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(after_a_lost_link_only_what_came_meanwhile_is_sent) {
    ReactorScript script;
    PublishingNode node(script.reactor, 7);
    for (int i = 0; i < 20; ++i) node.put(instance("i-" + std::to_string(i)));
    FollowingNode follower(script.reactor, {node.address()});
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return follower.knows("i-19"); });
        BOOST_TEST(holds);
        node.publisher.close_all("test");
        node.log.put(instance("i-20"));
        follower.batches.clear();
        holds = co_await script.until([&] { return follower.knows("i-20"); });
        BOOST_TEST(holds);
        BOOST_TEST(node.connections == 2);
        BOOST_TEST(follower.ended == 1);
        BOOST_REQUIRE(!follower.batches.empty());
        BOOST_TEST(follower.batches.front().news.size() == 1U);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_place_that_the_log_no_longer_reaches_back_to_is_answered_with_a_snapshot) {
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
        resumes.say(subscription(7, 4));
        too_old.say(subscription(7, 3));
        of_another_feed.say(subscription(8, 4));
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
        const Batch &step = std::get<Batch>(*answers[0]), &cut = std::get<Batch>(*answers[1]),
                    &other = std::get<Batch>(*answers[2]);
        BOOST_TEST((!step.snapshot && step.items.size() == 1U));
        BOOST_TEST((cut.snapshot && cut.items.size() == 4U));
        BOOST_TEST((other.snapshot && other.items.size() == 4U));
        for (const Batch* batch : {&step, &cut, &other})
            BOOST_TEST((batch->feed_id == 7U && batch->sequence == 5U));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_publisher_that_starts_empty_is_told_what_its_subscriber_knows) {
    ReactorScript script;
    InstanceTable known;
    Publisher::Callbacks callbacks;
    callbacks.digests = [&] { return known.digests(); };
    PublishingNode* place = nullptr;
    callbacks.instances = [&](const std::vector<Instance>& records) {
        for (const Instance& record : records)
            if (known.merge(record, 0)) place->log.put(record);
        place->publisher.publish();
    };
    PublishingNode fresh(script.reactor, 8, {}, callbacks);
    place = &fresh;
    auto former = std::make_unique<PublishingNode>(script.reactor, 7);
    for (int i = 0; i < 40; ++i) former->put(instance("i-" + std::to_string(i)));
    Subscriber::Options options;
    options.offers_records = true;
    FollowingNode follower(script.reactor, {former->address(), fresh.address()}, options);
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return follower.knows("i-39"); });
        BOOST_TEST(holds);
        BOOST_TEST(follower.subscriber.tables().feed_id() == 7U);
        former.reset();
        holds = co_await script.until([&] { return follower.subscriber.tables().feed_id() == 8U; });
        BOOST_TEST(holds);
        BOOST_TEST(known.records().size() == 40U);
        // The snapshot of the fresh publisher names them all, so that the subscriber never loses one.
        for (int i = 0; i < 40; ++i) BOOST_TEST(follower.knows("i-" + std::to_string(i)));
        for (const auto& batch : follower.batches)
            for (const Item& item : batch.news) BOOST_TEST(!std::holds_alternative<InstanceRemoved>(item));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_publisher_that_knows_the_same_asks_for_nothing) {
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
        peer.say(message);
        std::optional<Message> answer;
        const bool answered = co_await script.until([&] { return (answer = peer.next()).has_value(); });
        BOOST_REQUIRE(answered);
        BOOST_TEST(std::holds_alternative<Batch>(*answer));
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_peer_that_sends_what_it_may_not_loses_its_link_and_nobody_else_does) {
    std::string spoilt = wire::frame(wire::to_bytes(Message{subscription()}));
    spoilt[5] = '\x7f';
    std::string other_version = wire::frame("x");
    other_version[4] = 2;
    const std::string unasked = wire::frame(wire::to_bytes(Message{Heartbeat{}}));
    const std::string subscribed = wire::frame(wire::to_bytes(Message{subscription()}));
    const std::string publishers = wire::frame(wire::to_bytes(Message{Batch{}}));
    const std::string oversized("\xff\xff\xff\xff\x01", 5);
    for (const std::string& bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"), spoilt, other_version, unasked, oversized,
          std::string(64, '\0'), subscribed + publishers, subscribed + spoilt}) {
        ReactorScript script;
        PublishingNode node(script.reactor, 7);
        FollowingNode follower(script.reactor, {node.address()});
        RawPeer peer(script.reactor, node.address());
        script.run([&]() -> ReactorScript::Step {
            bool holds = co_await script.until([&] { return peer.up() && follower.subscriber.connected(); });
            BOOST_REQUIRE(holds);
            peer.say(bytes);
            holds = co_await script.until([&] { return peer.ended(); });
            BOOST_TEST(holds);
            node.put(instance("i-1"));
            holds = co_await script.until([&] { return follower.knows("i-1"); });
            BOOST_TEST(holds);
            BOOST_TEST(follower.ended == 0);
            BOOST_TEST(node.publisher.sessions().size() == 1U);
            co_return Done{};
        });
    }
}

BOOST_AUTO_TEST_CASE(a_publisher_that_sends_what_it_may_not_is_left_for_the_next) {
    std::string spoilt = wire::frame(wire::to_bytes(Message{Batch{}}));
    spoilt.back() = '\x7f';
    for (const std::string& bytes : {std::string("HTTP/1.1 400 Bad\r\n\r\n"), spoilt,
                                     wire::frame(wire::to_bytes(Message{subscription()}))}) {
        ReactorScript script;
        PublishingNode node(script.reactor, 7);
        std::vector<std::unique_ptr<transport::Stream>> spoken;
        transport::Listener liar(script.reactor, "127.0.0.1:0", [&](int descriptor) {
            spoken.push_back(std::make_unique<transport::Stream>(
                script.reactor.loop(), descriptor, transport::Stream::Start::kConnected, 4096, 4096));
            spoken.back()->send(bytes);
        });
        node.put(instance("i-1"));
        FollowingNode follower(script.reactor, {"127.0.0.1:" + std::to_string(liar.port()), node.address()});
        script.run([&]() -> ReactorScript::Step {
            const bool holds = co_await script.until([&] { return follower.knows("i-1"); });
            BOOST_TEST(holds);
            BOOST_TEST(spoken.size() == 1U);
            co_return Done{};
        });
    }
}

BOOST_AUTO_TEST_CASE(a_subscriber_that_is_refused_tries_the_next_address_and_comes_back_later) {
    ReactorScript script;
    bool refuses = true;
    Publisher::Callbacks callbacks;
    callbacks.refuse = [&]() -> std::optional<std::string> {
        return refuses ? std::optional<std::string>("cut off") : std::nullopt;
    };
    PublishingNode first(script.reactor, 7, {}, callbacks), second(script.reactor, 8);
    FollowingNode follower(script.reactor, {"127.0.0.1:1", "no address", first.address(), second.address()});
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return follower.subscriber.connected(); });
        BOOST_TEST(holds);
        BOOST_TEST(follower.subscriber.publisher() == second.address());
        BOOST_TEST(first.publisher.sessions().empty());
        refuses = false;
        second.publisher.close_all("test");
        holds = co_await script.until([&] { return follower.subscriber.tables().feed_id() == 7U; });
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(silence_ends_a_link_on_either_side) {
    ReactorScript script;
    Publisher::Options options;
    options.silence = kSilence;
    PublishingNode node(script.reactor, 7, options);
    std::vector<std::unique_ptr<transport::Stream>> held;
    transport::Listener mute(script.reactor, "127.0.0.1:0", [&](int descriptor) {
        held.push_back(std::make_unique<transport::Stream>(script.reactor.loop(), descriptor,
                                                           transport::Stream::Start::kConnected, 4096, 4096));
    });
    RawPeer peer(script.reactor, node.address());
    Subscriber::Options patience;
    patience.silence = kSilence, patience.connect_timeout = kLongSilence;
    FollowingNode follower(script.reactor, {"127.0.0.1:" + std::to_string(mute.port())}, patience);
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return peer.up(); });
        BOOST_TEST(holds);
        peer.say(subscription());
        const Tenths began = script.reactor.now();
        holds = co_await script.until([&] { return node.publisher.sessions().size() == 1U; });
        BOOST_TEST(holds);
        holds = co_await script.until([&] { return peer.ended(); });
        BOOST_TEST(holds);
        BOOST_TEST(script.reactor.now() - began >= kSilence);
        BOOST_TEST(node.publisher.sessions().empty());
        holds = co_await script.until([&] { return held.size() >= 2; }); // it left and came again
        BOOST_TEST(holds);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(heartbeats_alone_keep_a_session_up) {
    ReactorScript script;
    Publisher::Options options;
    options.silence = kSilence, options.heartbeat = kSilence / 5;
    PublishingNode node(script.reactor, 7, options);
    Subscriber::Options beats;
    beats.silence = kSilence, beats.heartbeat = kSilence / 5;
    FollowingNode follower(script.reactor, {node.address()}, beats);
    script.run([&]() -> ReactorScript::Step {
        bool holds = co_await script.until([&] { return follower.subscriber.connected(); });
        BOOST_TEST(holds);
        const Tenths until = script.reactor.now() + 4 * kSilence;
        holds = co_await script.until([&] { return script.reactor.now() >= until; });
        BOOST_TEST(holds);
        BOOST_TEST(follower.ended == 0);
        BOOST_TEST(node.connections == 1);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(a_batch_that_does_not_fit_is_followed_by_a_snapshot_on_the_same_link) {
    ReactorScript script;
    std::unique_ptr<Link> link;
    std::vector<Subscribe> asked;
    transport::Listener publisher(script.reactor, "127.0.0.1:0", [&](int descriptor) {
        Link::Callbacks callbacks;
        callbacks.received = [&](const Message& message) {
            const auto* subscribe = std::get_if<Subscribe>(&message);
            if (subscribe == nullptr) return;
            asked.push_back(*subscribe);
            ConfigurationChange unfit;
            unfit.base_version = 4, unfit.version = 5;
            if (asked.size() == 1) link->send(Batch{7, 3, true, {instance("i-1")}});
            if (asked.size() == 1) link->send(Batch{7, 4, false, {instance("i-2"), unfit}});
            if (asked.size() == 2) link->send(Batch{7, 4, true, {instance("i-1"), instance("i-3")}});
        };
        callbacks.ended = [](const std::string&) {};
        link = std::make_unique<SocketLink>(script.reactor, descriptor, transport::Stream::Start::kConnected,
                                            0, std::move(callbacks));
        link->start();
    });
    FollowingNode follower(script.reactor, {"127.0.0.1:" + std::to_string(publisher.port())});
    script.run([&]() -> ReactorScript::Step {
        const bool holds = co_await script.until([&] { return follower.knows("i-3"); });
        BOOST_TEST(holds);
        BOOST_TEST(!follower.knows("i-2"));
        BOOST_REQUIRE(asked.size() == 2U);
        BOOST_TEST((asked[1].feed_id == 0U && asked[1].sequence == 0U));
        BOOST_TEST(follower.ended == 0);
        co_return Done{};
    });
}

// A control node that was cut off told its agents to go elsewhere and ended with 139: the notice did not fit
// what one of them still had to read, which ended its link and freed what was used next.
BOOST_AUTO_TEST_CASE(a_last_word_that_does_not_fit_ends_its_subscriber_alone) {
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
        const bool goes_on = co_await script.until([&] { return publisher.sessions().empty(); });
        BOOST_TEST(goes_on);
        co_return Done{};
    });
    close(one);
    close(other);
}

// What a caller may count as never sent: a stream takes bytes whole or not at all.
BOOST_AUTO_TEST_CASE(a_send_that_does_not_fit_leaves_no_byte) {
    ReactorScript script;
    constexpr std::size_t kRoom = 1000;
    int ends[2];
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends) == 0);
    transport::Stream stream(script.reactor.loop(), ends[0], transport::Stream::Start::kConnected, kRoom,
                             kRoom);
    const auto come = [&] {
        std::string all;
        std::array<char, 4096> part{};
        for (ssize_t got; (got = read(ends[1], part.data(), part.size())) > 0;)
            all.append(part.data(), static_cast<std::size_t>(got));
        return all;
    };
    script.run([&]() -> ReactorScript::Step {
        BOOST_TEST(!stream.send(std::string(kRoom + 1, 'x')));
        int looks = 0;
        co_await script.until([&] { return ++looks > 5; });
        BOOST_TEST(come().empty());
        BOOST_TEST(stream.send("first "));
        BOOST_TEST(!stream.send(std::string(kRoom + 1, 'x')));
        BOOST_TEST(stream.send("second"));
        std::string all;
        const bool holds = co_await script.until([&] { return (all += come()).size() >= 12; });
        BOOST_TEST(holds);
        BOOST_TEST(all == "first second");
        co_return Done{};
    });
    close(ends[1]);
}

BOOST_AUTO_TEST_CASE(fleet_time_is_told_at_once_to_who_is_up_to_date_and_again_among_batches) {
    constexpr std::int64_t kTime = 1'767'225'600'000;
    ReactorScript script;
    Publisher::Options options;
    options.heartbeat = 100;
    Publisher::Callbacks callbacks;
    callbacks.fleet_time = [] { return clock::FleetTime{kTime, 7}; };
    PublishingNode publishing(script.reactor, 7, options, std::move(callbacks));
    publishing.log.put(instance("i-1"));
    FollowingNode following(script.reactor, {publishing.address()});
    script.run([&]() -> ReactorScript::Step {
        const bool told = co_await script.until([&] { return !following.times.empty(); }, 500);
        BOOST_TEST(told);
        BOOST_TEST(following.times.front().unix_ms == kTime);
        BOOST_TEST(following.times.front().error_ms == 7);
        BOOST_TEST(following.began == 1);
        // Batches that follow each other leave no silence for a heartbeat.
        std::uint64_t revision = 1;
        const bool told_again = co_await script.until([&] {
            publishing.log.put(instance("i-1", ++revision));
            publishing.publisher.publish();
            return following.times.size() >= 2;
        });
        BOOST_TEST(told_again);
        co_return Done{};
    });
}

BOOST_AUTO_TEST_CASE(time_of_day_and_counts_of_a_subscriber_come_to_its_publisher) {
    constexpr std::int64_t kTime = 1'767'225'600'000;
    ReactorScript script;
    std::int64_t time_of_day = 0;
    std::vector<model::ProcessUsage> counts;
    Publisher::Callbacks callbacks;
    callbacks.time_of_day = [&](const std::string& node, std::int64_t unix_ms) {
        BOOST_TEST(node == "edge-1");
        time_of_day = unix_ms;
    };
    callbacks.usage = [&](const std::vector<model::ProcessUsage>& told) { counts = told; };
    PublishingNode publishing(script.reactor, 7, {}, std::move(callbacks));
    publishing.log.put(instance("i-1"));
    Subscriber::Options options;
    options.heartbeat = 100;
    FollowingNode following(script.reactor, {publishing.address()}, options, [] { return kTime; });
    const model::ProcessUsage usage{77, 353'445'120, {{"nowu640", 412}}, 412, kTime, false};
    script.run([&]() -> ReactorScript::Step {
        const bool told = co_await script.until([&] { return time_of_day != 0; });
        BOOST_TEST(told);
        BOOST_TEST(time_of_day == kTime);
        following.subscriber.send(UsageCounts{{usage}});
        const bool counted = co_await script.until([&] { return !counts.empty(); });
        BOOST_TEST(counted);
        BOOST_TEST((counts == std::vector<model::ProcessUsage>{usage}));
        co_return Done{};
    });
}
