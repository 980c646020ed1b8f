// HTTP/1.1 (RFC 9112): one request at a time, answers in their order.
#pragma once
#include "protocol/http.hpp"
#include "sessions/session.hpp"

namespace ivyrill::sessions {

class Http1Session : public Session {
  public:
    explicit Http1Session(const Around& around) : around_(around) {}
    std::size_t feed(std::string_view bytes) override;
    bool reads() const override { return !busy_ && !closing_; }
    bool midway() const override { return reads() && parser_.begun(); }
    void answer(StreamNo stream, const protocol::FinalAnswer& answer, bool last) override;
    void reject(StreamNo stream, int status, std::string_view why, std::string_view challenge,
                bool last) override;
    std::string take_out(std::size_t room) override;
    bool over() const override { return closing_ && !busy_ && out_.empty(); }

  private:
    void say(const protocol::Reply& reply, bool last);
    void take(const protocol::HttpMessage& message);

    const Around& around_;
    protocol::HttpParser parser_{protocol::HttpParser::Side::kRequests};
    std::string out_;
    bool busy_ = false, closing_ = false; // a search is out; its answer is the last word here
};

} // namespace ivyrill::sessions
