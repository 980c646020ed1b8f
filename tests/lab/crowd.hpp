// Many clients that misbehave at once, each on a connection of its own: they stop short of the end of what
// they announced, send more than is allowed, or do not read their answers. A client whose connection the
// server closes comes again a few times. Connections that the server leaves open stay open until the crowd is
// destroyed.
#pragma once
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace ivyrill::lab {

// What each client of a crowd sends: a head, then a piece again and again up to a number of bytes.
struct CrowdPlan {
    std::size_t clients = 0;
    std::string head;  // `{}` is replaced by a number that is unique among all attempts of the crowd
    std::string piece; // repeated; the last copy is cut off at `total_bytes`
    std::size_t total_bytes = 0;     // of the pieces; 0: only the head is sent
    bool reads = true;               // whether what the server sends is read
    std::size_t slow_read_bytes = 0; // read by each client in a tenth of a second; 0: whatever has come
    std::size_t receive_buffer = 0;  // bytes of the socket's receive buffer; 0: the system's default
    int connections = 3;             // of each client, one after the other
};

// What one process uses.
struct ProcessUsage {
    std::int64_t resident_kib = 0, peak_resident_kib = 0;
    std::int64_t unread_kib = 0; // that have arrived at its TCP connections and that it has not read
    std::int64_t descriptors = 0;
};
ProcessUsage usage_of(pid_t process);

class Crowd {
  public:
    Crowd(const std::string& address, CrowdPlan plan);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    // Sends and reads until no client could do anything for a while; `sample` is called now and then.
    void press(const std::function<void()>& sample);
    std::size_t open_connections() const; // of those that the server has not closed

  private:
    struct Client {
        int descriptor = -1;
        int connections_left = 0;
        std::string head;
        std::size_t head_sent = 0, pieces_sent = 0;    // bytes
        bool done = false;                             // everything is sent
        std::chrono::steady_clock::time_point read_at; // of a slow reader
    };
    void connect(Client& client);
    void close(Client& client);
    bool advance(Client& client); // returns whether anything was sent, read or opened
    bool send_some(Client& client);
    bool read_some(Client& client);
    std::string_view unsent_piece(const Client& client) const;

    std::string address_;
    CrowdPlan plan_;
    std::string pieces_; // a run of whole pieces, sent cyclically
    std::uint64_t attempts_ = 0;
    std::vector<Client> clients_;
};

} // namespace ivyrill::lab
