// Reads requests from a connection into its parser, as far as the process's budget for buffers has room.
#pragma once
#include "limits/buffer_budget.hpp"
#include "protocol/http.hpp"
#include "transport/stream.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace ivyrill::http {

class RequestReader {
  public:
    enum class Step : std::uint8_t {
        kAdvanced, // bytes were parsed
        kNothing,  // no input, or the request is complete or malformed
        kPaused,   // no room: to be called again at `resume_at`
        kNoRoom    // no room for too long: the request is to be refused
    };
    // Upper limit of a request's body, by its head; bytes.
    using BodyLimit = std::function<std::size_t(const protocol::HttpMessage& head)>;

    // All but `body_limit` must outlive the reader. `body_limit` may be empty.
    RequestReader(transport::Stream& stream, protocol::HttpParser& parser, limits::BufferBudget& budget,
                  limits::BufferBudget::Account& account, BodyLimit body_limit = {});

    Step read(Ticks now);
    Ticks resume_at() const { return resume_at_; }
    // When the current request is given up: a bound on the whole, which grows with what has arrived, and one
    // on the time without any bytes.
    Ticks body_deadline(Ticks max_silence) const;
    // The current request has been taken; the next one follows.
    void request_taken();

  private:
    Step pause(Ticks now);
    void limit_body();
    void update_account(Ticks now);

    transport::Stream& stream_;
    protocol::HttpParser& parser_;
    limits::BufferBudget& budget_;
    limits::BufferBudget::Account& account_;
    BodyLimit body_limit_;
    bool body_limited_ = false;
    std::optional<Ticks> paused_since_;
    Ticks begun_at_ = 0, received_at_ = 0, resume_at_ = 0;
    std::uint64_t received_bytes_ = 0; // of the current request
};

} // namespace ivyrill::http
