// One connection between two of ivyrill's own processes: typed messages both ways over frames, and its
// liveness. Who owns a link is told of each message by a call; after the link has ended nothing is told any
// more.
#pragma once
#include "feed/messages.hpp"
#include "transport/reactor.hpp"
#include "transport/stream.hpp"
#include "wire/cbor.hpp"
#include "wire/frame.hpp"

#include <functional>
#include <memory>
#include <string>

namespace ivyrill::feed {

class Link {
  public:
    struct Callbacks {
        std::function<void()> up; // of a link that this side opened
        std::function<void(Message)> received;
        std::function<void(const std::string& reason)>
            ended; // last; the owner frees the link by `free_later`
    };
    // `silence`: the link ends when nothing has come for so long. Zero: never.
    Link(transport::Reactor& reactor, int descriptor, transport::Stream::Start start, Tenths silence,
         Callbacks callbacks);
    ~Link();
    void start(); // once the owner holds it: what has come already is told from here on
    Link(const Link&) = delete;
    Link& operator=(const Link&) = delete;

    bool up() const { return stream_.up() && !ended_; }
    bool send(const Message& message); // false where the peer reads too slowly or is gone: the link then ends
    bool send_frame(const std::string& frame);
    void end(const std::string& reason);
    Tenths last_heard() const { return last_heard_; }

  private:
    transport::Task read();
    void check_silence();

    transport::Reactor& reactor_;
    transport::Slot wake_;
    transport::Stream stream_;
    Tenths silence_, last_heard_;
    Callbacks callbacks_;
    wire::FrameReader reader_;
    bool told_up_ = false, ended_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    transport::Reactor::TimerId silence_timer_{};
    transport::Task task_;
};

} // namespace ivyrill::feed
