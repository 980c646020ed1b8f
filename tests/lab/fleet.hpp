// Stand-ins for index servers and discovery, on loopback in one thread: each index server holds one shard and
// answers a part with its query's text, at once or when it is let. They keep account of every attempt.
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

class Fleet {
  public:
    explicit Fleet(int servers); // listens; nothing is answered before `start`
    ~Fleet();
    void start();

    std::string discovery() const;
    protocol::ServerList list() const;
    void hold(bool on) { held_ = on; }           // parts wait unanswered meanwhile
    int attempts(const std::string& part) const; // of a part's id, over all servers
    std::uint64_t attempts() const;
    std::size_t max_attempts() const; // of any one part
    bool await_attempt(const std::string& part, int patience_ms = 20'000) const;

  private:
    struct Peer {
        Peer(transport::Loop& loop, int descriptor, int server);
        int server; // below zero: a caller of discovery
        transport::Stream stream;
        protocol::FrameParser frames;
        protocol::HttpParser requests{protocol::HttpParser::Side::kRequests};
        std::vector<std::string> waiting; // answers that are held back
        bool over = false;
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
    std::vector<std::unique_ptr<Listener>> listeners_; // the last is discovery's
    std::vector<std::unique_ptr<Peer>> peers_;
    mutable std::mutex mutex_;
    mutable std::condition_variable attempted_;
    std::map<std::string, int> attempts_;
    std::uint64_t count_ = 0;
    std::atomic<bool> held_ = false, stop_ = false;
    std::thread thread_;
};

} // namespace ivyrill::lab
