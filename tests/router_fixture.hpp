// Test fixture for the router without sockets: takes events and records effects.
#pragma once
#include "fake_host.hpp"
#include "routing/router.hpp"

#include <algorithm>
#include <optional>

namespace ivyrill::routing {

using protocol::Verdict;

inline protocol::FrontNodeConfig
front_node_config(ivyrill::Idempotency idempotency = ivyrill::Idempotency::kIdempotent) {
    protocol::FrontNodeConfig config;
    config.scheduler = default_config();
    config.scheduler.hedging_enabled = false;
    config.scheduler.list_mode = ListMode::kQueried;
    config.scheduler.request_classes[0].idempotency = idempotency;
    config.request_classes = {"find"}, config.tenants = {"acme"}, config.zones = {"a"},
    config.server_kinds = {"m"};
    config.max_calls_per_connection = 100, config.shards = 2;
    config.scheduler.connect_timeout = ms(250), config.idle_timeout = ms(15'000),
    config.watch_timeout = ms(10'000);
    return config;
}

inline protocol::ServerEntry entry(int number, ListedState listed = ListedState::kLive,
                                   const std::string& port = "1") {
    return {"s" + std::to_string(number),
            "10.0.0." + std::to_string(number) + ":" + port,
            "a",
            "m",
            0,
            listed,
            1,
            0};
}

// A router and the effects that it has returned so far.
struct RouterFixture {
    explicit RouterFixture(protocol::FrontNodeConfig config = front_node_config(), int servers = 2,
                           std::size_t descriptors = 1000)
        : router(std::move(config), list(servers), "10.0.1.1:1", descriptors, ms(1000)) {
        turn();
    }
    static protocol::ServerList list(int servers) {
        protocol::ServerList known{1, true, {}};
        for (int i = 0; i < servers; ++i) known.servers.push_back(entry(i));
        return known;
    }
    void turn() {
        for (Effect& effect : router.turn(now)) effects.push_back(std::move(effect));
    }
    void handle(Event event) { router.handle(now, std::move(event)), turn(); }
    void pass(Ticks span) {
        for (const Ticks end = now + span; now < end;) ++now, turn();
    }
    template <class EffectType> std::vector<EffectType> all() const {
        std::vector<EffectType> found;
        for (const Effect& effect : effects)
            if (const auto* what = std::get_if<EffectType>(&effect)) found.push_back(*what);
        return found;
    }
    ClientId client() {
        handle(ClientOpened{ClientId{++clients}});
        return ClientId{clients};
    }
    ClientId search(const std::vector<int>& shards = {0}, std::int64_t timeout_us = 2'000'000) {
        const ClientId id = client();
        protocol::SearchRequest request{
            "q" + std::to_string(clients), "find", "acme", "text", timeout_us, false, {}};
        for (const int shard : shards) request.targets.push_back({shard, 1.0 / shards.size()});
        handle(SearchReceived{id, request, 0});
        return id;
    }
    void up(ConnectionId connection) { handle(ConnectionEstablished{connection}); }
    void wrote_all(ConnectionId connection) {
        std::uint64_t total = 0;
        for (const WriteConnection& write : all<WriteConnection>())
            if (write.connection == connection) total += write.bytes.size();
        handle(ConnectionBytesWritten{connection, total});
    }
    void answers(ConnectionId connection, const std::string& id, Outcome outcome = Outcome::kAnswered) {
        handle(PartAnswered{connection, {id, outcome, {}, "value of " + id}, 0});
    }
    std::vector<std::string> frames(ConnectionId connection, char letter) const {
        std::vector<std::string> found;
        for (const WriteConnection& write : all<WriteConnection>())
            if (write.connection == connection && write.bytes[4] == letter)
                found.push_back(write.bytes.substr(5));
        return found;
    }
    std::size_t sent(char letter) const {
        const auto writes = all<WriteConnection>();
        return std::ranges::count_if(writes, [&](auto& write) { return write.bytes[4] == letter; });
    }
    std::optional<Verdict> verdict(ClientId client) const {
        for (const AnswerClient& answer : all<AnswerClient>())
            if (answer.client == client) return answer.answer.verdict;
        return {};
    }

    Router router;
    Ticks now = ms(1000);
    std::uint64_t clients = 0;
    std::vector<Effect> effects;
};

} // namespace ivyrill::routing
