// A stand-in for the platform's API on a socket, in its caller's loop: it accepts POST /usage and POST
// /scale, records each call with its time and sender, and checks the rule ONE. After each Loop::wait the
// caller calls pass().
#pragma once
#include "lab/http_reader.hpp"
#include "transport/stream.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ivyrill::lab {

enum class PlatformMode : std::uint8_t {
    kQuick,
    kSlow,      // accepts a call at once and answers it after kSlowAnswer
    kSilent,    // accepts no call and never answers
    kBusy,      // 429
    kResets,    // accepts a call and resets its connection
    kGarbage,   // accepts a call and answers with bytes that are not HTTP
    kHalfAnswer // accepts a call and closes the connection within the answer's head
};

struct ReceivedCall {
    Ticks at = 0;
    std::string peer; // IP:PORT, on loopback the same IP for all senders
    std::string path, holder, body;
    std::uint64_t fence = 0;
    PlatformMode mode = PlatformMode::kQuick; // mode in which the call was handled
};

class Platform {
  public:
    // `lease`: period within which two holders must not act alternately (`leaseMs`).
    Platform(transport::Loop& loop, const std::string& address, Ticks lease);

    void pass();
    void set_mode(PlatformMode mode) { mode_ = mode; }

    const std::vector<ReceivedCall>& calls() const { return calls_; }
    const std::map<std::int64_t, std::string>& reports() const { return reports_; } // accepted, by window
    const std::vector<std::string>& violations() const { return violations_; }      // violations of ONE
    std::int64_t counted(const std::string& tenant) const;                          // in all windows
    std::int64_t counted(std::int64_t window, const std::string& tenant) const;     // 0 if not reported
    std::size_t missing() const; // unreported windows between the first and the last

    static constexpr Ticks kSlowAnswer = 2 * kTicksPerSecond;

  private:
    struct Connection {
        std::unique_ptr<transport::Stream> stream;
        HttpReader reader{HttpReader::Side::kRequests};
        int descriptor = -1; // the stream's
        std::string peer;
        bool is_taken = false, is_over = false;
        PlatformMode mode = PlatformMode::kQuick; // mode in which the call is handled
        Ticks answer_at = 0;                      // 0: no answer will be sent
    };
    struct Act {
        Ticks at = 0;
        std::string holder;
        std::uint64_t fence = 0;
    };

    void accept_all();
    void pass(Connection& connection);
    void take(Connection& connection);
    void answer(Connection& connection);
    void judge_order(const std::string& subject, const ReceivedCall& call);
    void judge_turns(const std::vector<Act>& acts, const std::string& subject);
    void take_report(const ReceivedCall& call);

    transport::Loop& loop_;
    transport::Source listener_;
    Ticks lease_;
    PlatformMode mode_ = PlatformMode::kQuick;
    std::vector<std::unique_ptr<Connection>> connections_;
    std::vector<ReceivedCall> calls_;
    std::map<std::int64_t, std::string> reports_received_, reports_; // by window; reports_: accepted
    std::map<std::string, std::vector<Act>> acts_;                   // by subject
    std::vector<std::string> violations_;
};

} // namespace ivyrill::lab
