// A blocking HTTP/2 client for tests and measurements, which can also misbehave: libnghttp2 encodes requests,
// flow control windows can be kept closed, and raw frames can be sent. Prior knowledge or TLS.
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
    int status = 0, answers = 0; // answers: number of response header blocks
    std::map<std::string, std::string> fields;
    std::string body;
    bool ended = false, closed = false; // ended: complete; closed: the stream has ended either way
    std::uint32_t error = 0;            // code of RST_STREAM
};

class H2Client {
  public:
    struct Plan {
        bool open_windows = true;            // false: sends no WINDOW_UPDATE for received data
        std::uint32_t first_window = 65'535; // initial window of each stream
    };
    explicit H2Client(const std::string& address, Plan plan);
    explicit H2Client(const std::string& address) : H2Client(address, Plan{}) {}
    H2Client(Client connection, Plan plan);
    ~H2Client();
    H2Client(const H2Client&) = delete;
    H2Client& operator=(const H2Client&) = delete;

    using Fields = std::vector<std::pair<std::string, std::string>>;
    std::int32_t request(const Fields& fields, const std::string& body,
                         bool end = true); // returns the stream id
    void reset(std::int32_t stream, std::uint32_t code = 8);
    void open_window(std::int32_t stream, std::int32_t by);
    void set_window(std::uint32_t first); // SETTINGS_INITIAL_WINDOW_SIZE
    void ping();
    void raw(std::string_view bytes); // sends raw bytes after the queued frames
    void flush();

    bool step(); // processes the next bytes; false at the end of the connection
    const H2Answer& await(std::int32_t stream); // waits until the stream or the connection ends
    const H2Answer& answer(std::int32_t stream) { return answers_[stream]; }
    void await_end();  // waits until the connection ends
    void round_trip(); // sends a PING and waits for the reply: the server has read all before

    bool ended = false;
    int goaways = 0;
    std::uint32_t goaway_code = 0;
    std::int32_t goaway_last = -1;
    std::string shutdown_frames;    // received PING (P) and GOAWAY (G) frames in order
    bool hold_ping_replies = false; // true: PING replies are withheld until the release function is called
    void send_held_ping_reply();
    std::set<std::int32_t> open;
    struct Wire;

  private:
    friend struct Wire;
    void start();
    void track_shutdown_frames(std::string_view bytes);
    Client connection_;
    Plan plan_;
    nghttp2_session* session_ = nullptr;
    std::map<std::int32_t, H2Answer> answers_;
    std::map<std::int32_t, std::string> bodies_;
    int ping_replies_ = 0;
    std::string partial_frame_; // bytes of an incomplete frame
    std::optional<std::string> held_ping_reply_;
};

std::string raw_frame(std::uint8_t type, std::uint8_t flags, std::uint32_t stream, std::string_view payload);
struct SearchRequest;
H2Client::Fields search_fields(const SearchRequest& request);
std::string search_body(const SearchRequest& request);

} // namespace ivyrill::lab
