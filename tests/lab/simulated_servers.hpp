// Simulated index servers and discovery on loopback, in one thread. Each index server holds one shard and
// answers a part with its query's text, at once or after hold(false). All attempts are counted.
#pragma once
#include "protocol/frames.hpp"
#include "protocol/messages.hpp"
#include "transport/stream.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ivyrill::lab {

class SimulatedServers {
  public:
    explicit SimulatedServers(int servers); // listens; answers only after start()
    ~SimulatedServers();
    void start();

    std::string discovery() const;
    protocol::ServerList list() const;
    void hold(bool on) { answers_held_ = on; }   // true: answers are withheld
    int attempts(const std::string& part) const; // attempts of one part over all servers
    std::uint64_t attempts() const;
    std::size_t max_attempts() const; // maximum over all parts
    bool await_attempt(const std::string& part, int timeout_ms = 20'000) const;

  private:
    struct Peer {
        Peer(transport::Loop& loop, int descriptor, int server);
        int server; // negative: a client of discovery
        transport::Stream stream;
        protocol::FrameParser frames;
        protocol::HttpParser requests{protocol::HttpParser::Side::kRequests};
        std::vector<std::string> waiting; // withheld answers
        bool closed = false;
        transport::Task task;
    };
    struct Listener {
        Listener(transport::Loop& loop) : source(loop, transport::listen_at("127.0.0.1:0")) {}
        transport::Source source;
        transport::Task task;
    };
    transport::Task accept(Listener& listener, int server);
    transport::Task serve(Peer& peer);
    void take(Peer& peer, const protocol::Frame& frame);
    void run();
    std::string address(std::size_t listener) const;

    transport::Loop loop_;
    std::vector<std::unique_ptr<Listener>> listeners_; // the last one is for discovery
    std::vector<std::unique_ptr<Peer>> peers_;
    mutable std::mutex mutex_;
    mutable std::condition_variable attempted_;
    std::map<std::string, int> attempts_;
    std::uint64_t count_ = 0;
    std::atomic<bool> answers_held_ = false, stop_ = false;
    std::thread thread_;
};

} // namespace ivyrill::lab
