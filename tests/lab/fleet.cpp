#include "lab/fleet.hpp"

#include "lab/server_wire.hpp"
#include "protocol/json.hpp"

#include <algorithm>
#include <chrono>
#include <sys/socket.h>

namespace ivyrill::lab {

using transport::Stream;
using transport::Task;

Fleet::Peer::Peer(transport::Loop& loop, int descriptor, int number)
    : server(number), stream(loop, descriptor, Stream::Start::kConnected, 64 * 1024, 4 * 1024 * 1024) {}

Fleet::Fleet(int servers) {
    for (int i = 0; i <= servers; ++i) listeners_.push_back(std::make_unique<Listener>(loop_));
}

Fleet::~Fleet() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
}

void Fleet::start() {
    for (std::size_t i = 0; i < listeners_.size(); ++i) {
        listeners_[i]->task = accept(*listeners_[i], i + 1 == listeners_.size() ? -1 : static_cast<int>(i));
        listeners_[i]->task.start();
    }
    thread_ = std::thread([this] { run(); });
}

std::string Fleet::address(std::size_t listener) const {
    return "127.0.0.1:" + std::to_string(transport::port_of(listeners_[listener]->source.descriptor()));
}

std::string Fleet::discovery() const { return address(listeners_.size() - 1); }

protocol::ServerList Fleet::list() const {
    protocol::ServerList made{1, true, {}};
    for (std::size_t i = 0; i + 1 < listeners_.size(); ++i)
        made.servers.push_back(
            {"s" + std::to_string(i), address(i), "a", "m", static_cast<int>(i), ListedState::kLive, 1, 0});
    return made;
}

void Fleet::run() {
    while (!stop_) {
        loop_.wait(loop_.now() + kTicksPerSecond / 500);
        std::erase_if(peers_, [](auto& peer) { return peer->over; });
        if (held_) continue;
        for (auto& peer : peers_)
            for (const std::string& answer : std::exchange(peer->waiting, {})) peer->stream.send(answer);
    }
}

Task Fleet::accept(Listener& listener, int server) {
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

Task Fleet::serve(Peer& peer) {
    Stream& stream = peer.stream;
    while (!stream.ended()) {
        while (stream.unread()) {
            if (peer.server < 0) {
                stream.feed(peer.requests);
                // The whole list at once; a watch waits for news that never come.
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
    peer.over = true;
}

void Fleet::take(Peer& peer, const protocol::Frame& came) {
    if (came.type == 'M') peer.stream.send(frame('M', "inflight=0,queue=0"));
    if (came.type != 'S') return;
    for (const auto& [id, query] : parts_of(came.payload)) {
        {
            const std::lock_guard lock(mutex_);
            ++attempts_[id], ++count_;
        }
        attempted_.notify_all();
        const std::string answer = frame('R', id + " done 1 inflight=0,queue=0\n" + query);
        if (held_)
            peer.waiting.push_back(answer);
        else
            peer.stream.send(answer);
    }
}

int Fleet::attempts(const std::string& part) const {
    const std::lock_guard lock(mutex_);
    const auto found = attempts_.find(part);
    return found == attempts_.end() ? 0 : found->second;
}

std::uint64_t Fleet::attempts() const {
    const std::lock_guard lock(mutex_);
    return count_;
}

std::size_t Fleet::max_attempts() const {
    const std::lock_guard lock(mutex_);
    int most = 0;
    for (const auto& [id, count] : attempts_) most = std::max(most, count);
    return static_cast<std::size_t>(most);
}

bool Fleet::await_attempt(const std::string& part, int patience_ms) const {
    std::unique_lock lock(mutex_);
    return attempted_.wait_for(lock, std::chrono::milliseconds(patience_ms),
                               [&] { return attempts_.contains(part); });
}

} // namespace ivyrill::lab
