#include "proxy/server_connections.hpp"

#include <algorithm>
#include <utility>

namespace ivyrill::proxy {

namespace {

constexpr Ticks kCloseInterval = 5000;
constexpr Ticks kMaxIdle = 60'000;    // if the server states no idle timeout
constexpr Ticks kIdleMargin = 10'000; // before the server's own idle timeout, which is in whole seconds

bool idle_too_long(const http::ClientConnection& connection, Ticks now) {
    const Ticks bound = connection.server_idle_timeout > 0
                            ? std::min(kMaxIdle, connection.server_idle_timeout - kIdleMargin)
                            : kMaxIdle;
    return now - connection.idle_since >= bound;
}

} // namespace

ServerConnections::~ServerConnections() { reactor_.cancel(timer_); }

void ServerConnections::start() { close_idle(); }

std::unique_ptr<http::ClientConnection>
ServerConnections::take_idle(const std::string& instance, Ticks max_idle,
                             const std::set<std::uint64_t>& excluded) {
    const auto found = idle_.find(instance);
    if (found == idle_.end()) return nullptr;
    auto& connections = found->second;
    for (auto place = connections.end(); place != connections.begin();) { // most recently used first
        --place;
        if (excluded.contains((*place)->number)) continue;
        auto connection = std::move(*place);
        place = connections.erase(place);
        if (!connection->reusable() || idle_too_long(*connection, reactor_.now())) continue;
        if (reactor_.now() - connection->idle_since <= max_idle) return connection;
    }
    return nullptr;
}

std::unique_ptr<http::ClientConnection> ServerConnections::open(const std::string& address) {
    auto connection = http::ClientConnection::open(reactor_, address, max_unsent_);
    if (!connection && !idle_.empty()) { // the descriptors may all be in use
        idle_.clear();
        connection = http::ClientConnection::open(reactor_, address, max_unsent_);
    }
    if (connection) connection->number = ++opened_;
    return connection;
}

void ServerConnections::release(const std::string& instance,
                                std::unique_ptr<http::ClientConnection> connection) {
    if (!connection->reusable() || connection->stream().unwritten() > 0)
        return discard(std::move(connection));
    connection->stream().also_wake(nullptr);
    connection->idle_since = reactor_.now();
    ++connection->uses;
    idle_[instance].push_back(std::move(connection));
}

void ServerConnections::discard(std::unique_ptr<http::ClientConnection> connection) {
    if (!connection) return;
    connection->stream().also_wake(nullptr);
    connection->stream().abandon();
    auto held = std::make_shared<std::unique_ptr<http::ClientConnection>>(std::move(connection));
    reactor_.free_later([held] { held->reset(); });
}

void ServerConnections::keep_only(const std::function<bool(const std::string&)>& known) {
    std::erase_if(idle_, [&](const auto& entry) { return !known(entry.first); });
}

void ServerConnections::close_idle() {
    timer_ = reactor_.call_after(kCloseInterval, [this] { close_idle(); });
    for (auto& [instance, connections] : idle_)
        std::erase_if(connections, [this](const auto& connection) {
            return !connection->reusable() || idle_too_long(*connection, reactor_.now());
        });
}

} // namespace ivyrill::proxy
