#include "sessions/http1/session.hpp"

namespace ivyrill::sessions {

std::size_t Http1Session::feed(std::string_view bytes) {
    if (!wants_input()) return 0;
    const std::size_t consumed = parser_.feed(bytes);
    if (parser_.broken() != 0)
        send_reply(protocol::error_reply(parser_.broken(), "malformed request"), true);
    else if (parser_.complete())
        handle_request(parser_.take());
    return consumed;
}

void Http1Session::handle_request(const protocol::HttpMessage& message) {
    closing_ = message.close;
    protocol::ClientRequest request = protocol::read_client_request(message);
    if (auto* search = std::get_if<protocol::SearchRequest>(&request)) {
        busy_ = true;
        events_.emplace_back(SearchRequested{0, std::move(*search)});
        return;
    }
    if (const auto* bad = std::get_if<protocol::BadRequest>(&request))
        send_reply(protocol::error_reply(bad->status, bad->why), false);
    else
        send_reply(protocol::ready_reply(node_status_.ready), false);
    events_.emplace_back(AnsweredLocally{});
}

// The connection closes after an answer if the caller (`last`) or the client's request asks for it.
void Http1Session::send_reply(const protocol::Reply& reply, bool last) {
    busy_ = false, closing_ = closing_ || last;
    out_ += protocol::write_reply(reply, closing_);
}

void Http1Session::answer(StreamId, const protocol::FinalAnswer& answer, bool last) {
    send_reply(protocol::reply_to_search(answer), last);
}

void Http1Session::reject(StreamId, int status, std::string_view reason, std::string_view challenge,
                          bool last) {
    send_reply(protocol::error_reply(status, reason, challenge), last);
}

// If there is no room for an answer, the connection is closed without sending part of it.
std::string Http1Session::take_output(std::size_t room) {
    if (out_.size() <= room) return std::exchange(out_, {});
    closing_ = true;
    out_.clear();
    return {};
}

} // namespace ivyrill::sessions
