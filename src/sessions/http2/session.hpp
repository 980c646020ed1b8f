// HTTP/2 (RFC 9113), with prior knowledge or by ALPN: each search is a stream. libnghttp2 handles frames and
// HPACK, bytes in and bytes out; this class and limits/connection_budget.hpp decide what a stream means,
// which requests are accepted, how much is buffered and when the connection ends.
#pragma once
#include "limits/connection_budget.hpp"
#include "sessions/session.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

struct nghttp2_session;

namespace ivyrill::sessions {

struct Http2Counts {
    std::uint64_t streams = 0, searches = 0, cancelled = 0, refused = 0, unread_answers = 0,
                  flood_terminations = 0;
};

class Http2Session : public Session {
  public:
    Http2Session(const NodeStatus& node_status, const limits::ConnectionLimits& limits);
    ~Http2Session() override;
    Http2Session(const Http2Session&) = delete;
    Http2Session& operator=(const Http2Session&) = delete;

    std::size_t feed(std::string_view bytes) override;
    bool wants_input() const override { return !failed_ && !finished(); }
    bool has_partial_request() const override { return receiving_ > 0; }
    void answer(StreamId stream, const protocol::FinalAnswer& answer, bool last) override;
    void reject(StreamId stream, int status, std::string_view reason, std::string_view challenge,
                bool last) override;
    void drain() override;
    std::string take_output(std::size_t room) override;
    std::size_t pending_answer_bytes() const override { return buffered_bytes_; }
    bool closed() const override { return (failed_ || finished()) && out_.empty(); }

    std::size_t open_streams() const { return streams_.size(); }
    const Http2Counts& counts() const { return counts_; }
    const limits::ConnectionBudget& budget() const { return budget_; }
    struct Callbacks; // libnghttp2's callbacks

  private:
    friend struct Callbacks;
    // Receiving the request, search in flight, sending the answer.
    enum class Phase { kReceiving, kSearching, kAnswered };
    struct Stream {
        Phase phase = Phase::kReceiving;
        protocol::HttpMessage message;
        std::string authority, body; // body: of the answer
        std::size_t sent = 0, header_list_bytes = 0;
        bool too_large = false;
    };
    bool finished() const;
    void terminate_for_flood(limits::ClientAction action); // sends GOAWAY with ENHANCE_YOUR_CALM
    void spend(limits::ClientAction action);
    void request_done(StreamId number, Stream& stream);
    void reply(StreamId number, const protocol::Reply& reply);
    void close_stream(StreamId number);

    const NodeStatus& node_status_;
    limits::ConnectionBudget budget_;
    nghttp2_session* session_ = nullptr;
    std::map<StreamId, Stream> streams_;
    std::string out_;
    // Request and answer bytes; incomplete requests.
    std::size_t buffered_bytes_ = 0, receiving_ = 0;
    std::size_t block_bytes_ = 0; // of an incomplete header block
    bool in_block_ = false, failed_ = false, flood_terminated_ = false;
    enum class DrainState { kNo, kAnnounced, kFinal } drain_state_ = DrainState::kNo;
    Http2Counts counts_;
};

} // namespace ivyrill::sessions
