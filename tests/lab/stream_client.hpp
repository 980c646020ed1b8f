// A client of the published protocol on a socket, in its caller's loop: after each Loop::wait the caller
// calls pass(), and waits no longer than until due(). It sends requests one after another on one connection
// and records the answers with their times. It does not use the parsers under test.
#pragma once
#include "lab/http_reader.hpp"
#include "transport/stream.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::lab {

struct ClientRequest {
    std::string method = "POST", target = "/", host = "model.example";
    std::string attempt, model = "m", token_counts, prompt_prefix; // empty fields are omitted
    std::optional<std::int64_t> deadline_ms, last_event_id;
    std::vector<HttpField> more; // further fields
    std::string body;
    std::size_t chunk_bytes = 0; // the body is sent in chunks of this many bytes; 0: with a length
};
std::string request_bytes(const ClientRequest& request);

struct ClientBehaviour {
    std::size_t piece_bytes = 0;          // data is sent in pieces of this many bytes; 0: at once
    Ticks piece_pause = 0;                // between two pieces
    std::size_t read_bytes = 0;           // reads this many bytes and then pauses; 0: all available bytes
    Ticks read_pause = 0;                 // between two reads
    std::int64_t close_after_events = -1; // closes after this many events; below zero: never
};

struct ClientEvent {
    Ticks at = 0;
    std::string bytes; // including the blank line
    std::string id;
};

enum class AnswerEnd : std::uint8_t {
    kOpen,     // in progress
    kComplete, // complete according to its framing
    kCut,      // the connection ended early
    kGarbage,  // the bytes are not an answer
    kClosed    // the client closed early
};

struct ClientAnswer {
    HttpHead head; // status 0 if none arrived
    std::string body;
    std::vector<ClientEvent> events; // complete ones
    AnswerEnd end = AnswerEnd::kOpen;
    Ticks sent_at = 0, head_at = 0, ended_at = 0;

    bool over() const { return end != AnswerEnd::kOpen; }
    std::string event_bytes() const; // of all complete events
};

class StreamClient {
  public:
    StreamClient(transport::Loop& loop, const std::string& address, ClientBehaviour behaviour = {});

    // Sends the request after the earlier answers arrived; answers() holds one entry for each, in this order.
    void send(const ClientRequest& request);
    void send_bytes(std::string bytes); // sent unchanged, as one request
    void pass();
    std::optional<Ticks> due() const;
    void close(); // an ordinary close without a reset

    bool over() const; // every request has its answer or will not get one
    const std::vector<ClientAnswer>& answers() const { return answers_; }
    const ClientAnswer& answer() const { return answers_.back(); }
    // Bytes received with no request waiting; they belong to no answer.
    const std::string& surplus() const { return surplus_; }
    bool connected() const { return stream_ && stream_->established() && !stream_->ended(); }

  private:
    void write(Ticks now);
    void read(Ticks now);
    void take(Ticks now, AnswerEnd where_broken);
    void split_events(ClientAnswer& answer, Ticks now);
    void end_answer(AnswerEnd end, Ticks now);
    bool waits() const; // waiting for an answer

    transport::Loop& loop_;
    ClientBehaviour behaviour_;
    std::unique_ptr<transport::Stream> stream_; // null once closed
    HttpReader reader_{HttpReader::Side::kResponses};
    std::vector<std::string> requests_; // one for each answer
    std::vector<ClientAnswer> answers_;
    std::size_t current_ = 0; // of answers_
    bool asked_ = false;      // sending of the current request has begun
    std::string unsent_, surplus_, unsplit_;
    Ticks write_at_ = 0, read_at_ = 0;
};

} // namespace ivyrill::lab
