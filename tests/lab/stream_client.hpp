// A client of the published protocol on a socket, in its caller's loop: after each Loop::wait the caller
// calls pass(), and waits no longer than until due(). It sends requests one after another on one connection
// and keeps what came, with times. What it makes of the bytes is independent of the readers under test.
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
    std::string attempt, model = "m", token_counts, prompt_prefix; // fields that are empty are left out
    std::optional<std::int64_t> deadline_ms, last_event_id;
    std::vector<HttpField> more; // further fields
    std::string body;
    std::size_t chunk_bytes = 0; // the body is sent in chunks of so many bytes; 0: with a length
};
std::string request_bytes(const ClientRequest& request);

struct ClientBehaviour {
    std::size_t piece_bytes = 0;          // what is sent goes in pieces of so many bytes; 0: at once
    Ticks piece_pause = 0;                // between two pieces
    std::size_t read_bytes = 0;           // it reads so many bytes and then pauses; 0: all that comes
    Ticks read_pause = 0;                 // between two reads
    std::int64_t close_after_events = -1; // it closes once so many events have come; below zero: never
};

struct ClientEvent {
    Ticks at = 0;
    std::string bytes; // with the blank line
    std::string id;
};

enum class AnswerEnd : std::uint8_t {
    kOpen,     // still under way
    kComplete, // whole, as its framing says
    kCut,      // the connection ended before
    kGarbage,  // what came is no answer
    kClosed    // the client closed early
};

struct ClientAnswer {
    HttpHead head; // status 0 where none came
    std::string body;
    std::vector<ClientEvent> events; // whole ones
    AnswerEnd end = AnswerEnd::kOpen;
    Ticks sent_at = 0, head_at = 0, ended_at = 0;

    bool over() const { return end != AnswerEnd::kOpen; }
    std::string event_bytes() const; // of all whole events
};

class StreamClient {
  public:
    StreamClient(transport::Loop& loop, const std::string& address, ClientBehaviour behaviour = {});

    // Sends it once the answers before it have come; answers() holds one entry for each in this order.
    void send(const ClientRequest& request);
    void send_bytes(std::string bytes); // as they are, as one request
    void pass();
    std::optional<Ticks> due() const;
    void close(); // resets nothing: an ordinary close

    bool over() const; // every request has its answer or will get none
    const std::vector<ClientAnswer>& answers() const { return answers_; }
    const ClientAnswer& answer() const { return answers_.back(); }
    // Bytes that came with no request waiting; they belong to no answer.
    const std::string& surplus() const { return surplus_; }
    bool connected() const { return stream_ && stream_->established() && !stream_->ended(); }

  private:
    void write(Ticks now);
    void read(Ticks now);
    void take(Ticks now, AnswerEnd where_broken);
    void split_events(ClientAnswer& answer, Ticks now);
    void end_answer(AnswerEnd end, Ticks now);
    bool waits() const; // an answer is expected

    transport::Loop& loop_;
    ClientBehaviour behaviour_;
    std::unique_ptr<transport::Stream> stream_; // null once closed
    HttpReader reader_{HttpReader::Side::kResponses};
    std::vector<std::string> requests_; // one for each answer
    std::vector<ClientAnswer> answers_;
    std::size_t current_ = 0; // of answers_
    bool asked_ = false;      // the current request has begun to be sent
    std::string unsent_, surplus_, unsplit_;
    Ticks write_at_ = 0, read_at_ = 0;
};

} // namespace ivyrill::lab
