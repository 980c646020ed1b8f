#include "lab/simulated_servers.hpp"

#include "lab/server_wire.hpp"
#include "protocol/json.hpp"

#include <algorithm>
#include <chrono>
#include <sys/socket.h>

namespace ivyrill::lab {

using transport::Stream;
using transport::Task;

SimulatedServers::Peer::Peer(transport::Loop& loop, int descriptor, int number)
    : server(number), stream(loop, descriptor, Stream::Start::kConnected, 64 * 1024, 4 * 1024 * 1024) {}

SimulatedServers::SimulatedServers(int servers) {
    for (int i = 0; i <= servers; ++i) listeners_.push_back(std::make_unique<Listener>(loop_));
}

SimulatedServers::~SimulatedServers() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
}

void SimulatedServers::start() {
    for (std::size_t i = 0; i < listeners_.size(); ++i) {
        listeners_[i]->task = accept(*listeners_[i], i + 1 == listeners_.size() ? -1 : static_cast<int>(i));
        listeners_[i]->task.start();
    }
    thread_ = std::thread([this] { run(); });
}

std::string SimulatedServers::address(std::size_t listener) const {
    return "127.0.0.1:" + std::to_string(transport::port_of(listeners_[listener]->source.descriptor()));
}

std::string SimulatedServers::discovery() const { return address(listeners_.size() - 1); }

protocol::ServerList SimulatedServers::list() const {
    protocol::ServerList server_list{1, true, {}};
    for (std::size_t i = 0; i + 1 < listeners_.size(); ++i)
        server_list.servers.push_back(
            {"s" + std::to_string(i), address(i), "a", "m", static_cast<int>(i), ListedState::kLive, 1, 0});
    return server_list;
}

void SimulatedServers::run() {
    while (!stop_) {
        loop_.wait(loop_.now() + kTicksPerSecond / 500);
        std::erase_if(peers_, [](auto& peer) { return peer->closed; });
        if (answers_held_) continue;
        for (auto& peer : peers_)
            for (const std::string& answer : std::exchange(peer->waiting, {})) peer->stream.send(answer);
    }
}

Task SimulatedServers::accept(Listener& listener, int server) {
    for (;;) {
        for (int descriptor; (descriptor = transport::accept_from(listener.source.descriptor())) >= 0;) {
            auto peer = std::make_unique<Peer>(loop_, descriptor, server);
            peer->task = serve(*peer);
            peers_.push_back(std::move(peer));
            peers_.back()->task.start();
        }
        transport::Slot& next = listener.source.readable;
        co_await next;
    }
}

Task SimulatedServers::serve(Peer& peer) {
    Stream& stream = peer.stream;
    while (!stream.ended()) {
        while (stream.unread()) {
            if (peer.server < 0) {
                stream.feed(peer.requests);
                // Answers a list request at once; a watch is never answered, as the list does not change.
                if (!peer.requests.complete()) continue;
                const bool watch = peer.requests.take().target.find("after=") != std::string::npos;
                if (!watch)
                    stream.send(protocol::http_response(200, "", R"({"version":1,"full":false,"servers":[]})",
                                                        false));
            } else {
                stream.feed(peer.frames);
                if (peer.frames.complete()) take(peer, peer.frames.take());
            }
        }
        if (!stream.ended()) co_await stream.changed;
    }
    peer.closed = true;
}

void SimulatedServers::take(Peer& peer, const protocol::Frame& received) {
    if (received.type == 'M') peer.stream.send(frame('M', "inflight=0,queue=0"));
    if (received.type != 'S') return;
    for (const auto& [id, query] : parts_of(received.payload)) {
        {
            const std::lock_guard lock(mutex_);
            ++attempts_[id], ++count_;
        }
        attempted_.notify_all();
        const std::string answer = frame('R', id + " done 1 inflight=0,queue=0\n" + query);
        if (answers_held_)
            peer.waiting.push_back(answer);
        else
            peer.stream.send(answer);
    }
}

int SimulatedServers::attempts(const std::string& part) const {
    const std::lock_guard lock(mutex_);
    const auto found = attempts_.find(part);
    return found == attempts_.end() ? 0 : found->second;
}

std::uint64_t SimulatedServers::attempts() const {
    const std::lock_guard lock(mutex_);
    return count_;
}

std::size_t SimulatedServers::max_attempts() const {
    const std::lock_guard lock(mutex_);
    int most = 0;
    for (const auto& [id, count] : attempts_) most = std::max(most, count);
    return static_cast<std::size_t>(most);
}

bool SimulatedServers::await_attempt(const std::string& part, int timeout_ms) const {
    std::unique_lock lock(mutex_);
    return attempted_.wait_for(lock, std::chrono::milliseconds(timeout_ms),
                               [&] { return attempts_.contains(part); });
}

} // namespace ivyrill::lab
