// HTTP/1.1 (RFC 9112): one request at a time, answered in order.
#pragma once
#include "protocol/http.hpp"
#include "sessions/session.hpp"

namespace ivyrill::sessions {

class Http1Session : public Session {
  public:
    explicit Http1Session(const NodeStatus& node_status) : node_status_(node_status) {}
    std::size_t feed(std::string_view bytes) override;
    bool wants_input() const override { return !busy_ && !closing_; }
    bool has_partial_request() const override { return wants_input() && parser_.begun(); }
    void answer(StreamId stream, const protocol::FinalAnswer& answer, bool last) override;
    void reject(StreamId stream, int status, std::string_view reason, std::string_view challenge,
                bool last) override;
    std::string take_output(std::size_t room) override;
    bool closed() const override { return closing_ && !busy_ && out_.empty(); }

  private:
    void send_reply(const protocol::Reply& reply, bool last);
    void handle_request(const protocol::HttpMessage& message);

    const NodeStatus& node_status_;
    protocol::HttpParser parser_{protocol::HttpParser::Side::kRequests};
    std::string out_;
    // busy_: a search is in flight. closing_: the connection closes after the next answer.
    bool busy_ = false, closing_ = false;
};

} // namespace ivyrill::sessions
