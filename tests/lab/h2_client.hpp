// A blocking HTTP/2 client for tests and measurements, well-behaved or not: requests and HPACK by
// libnghttp2, windows opened only when it is told to, and raw frames for what no library sends. Prior
// knowledge, or over TLS.
#pragma once
#include "lab/client.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct nghttp2_session;

namespace ivyrill::lab {

struct H2Answer {
    int status = 0, answers = 0; // the latter: how often fields of an answer came
    std::map<std::string, std::string> fields;
    std::string body;
    bool ended = false, closed = false; // whole; the stream is over either way
    std::uint32_t error = 0;            // of RST_STREAM
};

class H2Client {
  public:
    struct Plan {
        bool open_windows = true;            // false: what is sent is never given back as room
        std::uint32_t first_window = 65'535; // of each stream
    };
    explicit H2Client(const std::string& address, Plan plan);
    explicit H2Client(const std::string& address) : H2Client(address, Plan{}) {}
    H2Client(Client connection, Plan plan);
    ~H2Client();
    H2Client(const H2Client&) = delete;
    H2Client& operator=(const H2Client&) = delete;

    using Fields = std::vector<std::pair<std::string, std::string>>;
    std::int32_t request(const Fields& fields, const std::string& body, bool end = true); // the stream
    void reset(std::int32_t stream, std::uint32_t code = 8);
    void open_window(std::int32_t stream, std::int32_t by);
    void set_window(std::uint32_t first); // SETTINGS_INITIAL_WINDOW_SIZE
    void ping();
    void raw(std::string_view bytes); // as they are, behind what is queued
    void flush();

    bool step(); // takes in what comes next; false at the end of the connection
    const H2Answer& await(std::int32_t stream); // until it is over, or the connection
    const H2Answer& answer(std::int32_t stream) { return answers_[stream]; }
    void await_end();  // of the connection
    void round_trip(); // a PING and its answer: all before it has been heard

    bool ended = false;
    int goaways = 0;
    std::uint32_t goaway_code = 0;
    std::int32_t goaway_last = -1;
    std::string leaving;      // of PING and GOAWAY, each as it came: P, G
    bool holds_pongs = false; // no PING is answered while it stands; the last one is as it falls
    void let_pong();
    std::set<std::int32_t> open;
    struct Wire;

  private:
    friend struct Wire;
    void start();
    void look_at(std::string_view bytes);
    Client connection_;
    Plan plan_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, H2Answer> answers_;
    std::map<std::int32_t, std::string> bodies_;
    int pongs_ = 0;
    std::string unlooked_; // bytes of a frame that is not whole yet
    std::optional<std::string> owed_pong_;
};

std::string raw_frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload);
struct SearchRequest;
H2Client::Fields search_fields(const SearchRequest& request);
std::string search_body(const SearchRequest& request);

} // namespace ivyrill::lab
