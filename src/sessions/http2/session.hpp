// HTTP/2 (RFC 9113), with prior knowledge or agreed by ALPN: streams are searches. Frames and HPACK are
// libnghttp2's, which is given bytes and gives bytes; what a stream is, what is taken on, what is owed and
// when it ends is decided here and in limits/connection_budget.hpp.
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
    std::uint64_t streams = 0, searches = 0, taken_back = 0, refused = 0, unheard = 0, calmed = 0;
};

class Http2Session : public Session {
  public:
    Http2Session(const Around& around, const limits::ConnectionLimits& terms);
    ~Http2Session() override;
    Http2Session(const Http2Session&) = delete;
    Http2Session& operator=(const Http2Session&) = delete;

    std::size_t feed(std::string_view bytes) override;
    bool reads() const override { return !failed_ && !finished(); }
    bool midway() const override { return half_ > 0; }
    void answer(StreamNo stream, const protocol::FinalAnswer& answer, bool last) override;
    void reject(StreamNo stream, int status, std::string_view why, std::string_view challenge,
                bool last) override;
    void drain() override;
    std::string take_out(std::size_t room) override;
    std::size_t owes() const override { return held_; }
    bool over() const override { return (failed_ || finished()) && out_.empty(); }

    std::size_t open_streams() const { return streams_.size(); }
    const Http2Counts& counts() const { return counts_; }
    const limits::ConnectionBudget& budget() const { return budget_; }
    struct Wire; // the library's callbacks

  private:
    friend struct Wire;
    enum class Phase { kHalf, kSearching, kAnswered }; // its request comes, its search is out, its answer is
    struct Stream {
        Phase phase = Phase::kHalf;
        protocol::HttpMessage message;
        std::string authority, body; // the latter: of the answer
        std::size_t sent = 0, fields = 0;
        bool too_large = false;
    };
    bool finished() const;
    void end_calmly(limits::ClientAction deed); // GOAWAY with ENHANCE_YOUR_CALM
    void spend(limits::ClientAction deed);
    void request_done(StreamNo number, Stream& stream);
    void reply(StreamNo number, const protocol::Reply& reply);
    void close_stream(StreamNo number);

    const Around& around_;
    limits::ConnectionBudget budget_;
    nghttp2_session* session_ = nullptr;
    std::map<StreamNo, Stream> streams_;
    std::string out_;
    std::size_t held_ = 0, half_ = 0; // bytes of requests and answers; requests that are not whole
    std::size_t block_bytes_ = 0;     // of a header block that has not ended
    bool in_block_ = false, failed_ = false, calmed_ = false;
    enum class Leaving { kNo, kAnnounced, kSaid } leaving_ = Leaving::kNo;
    Http2Counts counts_;
};

} // namespace ivyrill::sessions
