// The whole fleet in real processes on loopback, by examples/fleet/run, and clients of it in the caller's
// loop. Each holds addresses of its own, so that several may run at once.
#pragma once
#include "lab/stream_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace ivyrill::lab {

// What the fleet is told of a platform's API; nothing where no window is stated.
struct PlatformSettings {
    std::int64_t window_s = 0; // `usageWindowS`
};

class ExampleFleet {
  public:
    // Starts it and waits until it is ready. Throws std::runtime_error where it doesn't become so in time.
    ExampleFleet(const std::string& run, const std::string& build, const PlatformSettings& platform = {});
    ~ExampleFleet(); // ends it
    ExampleFleet(const ExampleFleet&) = delete;
    ExampleFleet& operator=(const ExampleFleet&) = delete;

    std::string address(int host,
                        int port) const;   // `host`: last part of the address, as in examples/fleet/settings
    std::string control(int number) const; // 1 to 3
    std::string front(int number) const;   // 1 and 2

    pid_t process(const std::string& name) const; // as in examples/fleet/run, `control-1`
    void signal(const std::string& name, int number) const;
    bool running(const std::string& name) const;
    void restart(const std::string& name); // a node's process that has ended, with the same data and log
    std::string log(const std::string& name) const; // as far as it is written

    // A client lives as long as the fleet does.
    StreamClient& client(const std::string& address);
    // The answer to one request on a connection of its own, whole or not.
    const ClientAnswer& ask(const std::string& address, const ClientRequest& request);
    // Turns the loop until that holds; false where it doesn't within the patience.
    bool until(const std::function<bool()>& holds);

    transport::Loop& loop() { return loop_; }
    // Called in each turn of `until`, for what else lives in the loop.
    void also_pass(std::function<void()> pass) { also_pass_ = std::move(pass); }
    std::string platform() const { return address(41, 8168); }

  private:
    void start(const std::string& run, const std::string& build, const PlatformSettings& platform);
    void await_ready();
    void stop();
    void end_restarted();

    transport::Loop loop_;
    std::string network_, folder_, program_; // the program's file
    pid_t process_ = -1;
    std::vector<pid_t> restarted_; // children of this process
    std::function<void()> also_pass_;
    int input_ = -1, output_ = -1;
    std::vector<std::unique_ptr<StreamClient>> clients_;
};

} // namespace ivyrill::lab
