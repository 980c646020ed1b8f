// The whole fleet in real processes on loopback, started by examples/fleet/run, and its clients in the
// caller's loop. Each fleet uses separate addresses, so that several may run concurrently.
#pragma once
#include "lab/stream_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace ivyrill::lab {

// Settings of the platform's API; unused if no window is set.
struct PlatformSettings {
    std::int64_t window_s = 0; // `usageWindowS`
};

// Limits of the fleet's processes and sizes of its model servers, where they differ from those of
// examples/fleet.
struct FleetLimits {
    std::int64_t memory_mb = 0, file_descriptors = 0; // 0: as in the settings
    std::string server_options;                       // of ivyrill_model_server; empty: the usual sizes
};

class ExampleFleet {
  public:
    // Starts the fleet and waits until it is ready. Throws std::runtime_error if it is not ready in time.
    ExampleFleet(const std::string& run, const std::string& build, const PlatformSettings& platform = {},
                 const FleetLimits& limits = {});
    ~ExampleFleet(); // stops the fleet
    ExampleFleet(const ExampleFleet&) = delete;
    ExampleFleet& operator=(const ExampleFleet&) = delete;

    std::string address(int host,
                        int port) const; // `host`: last number of the address, as in examples/fleet/settings
    std::string control(int number) const; // 1 to 3
    std::string front(int number) const;   // 1 and 2

    pid_t process(const std::string& name) const; // as in examples/fleet/run, `control-1`
    void signal(const std::string& name, int number) const;
    bool running(const std::string& name) const;
    // Restarts a node whose process has ended, with the same data and log.
    void restart(const std::string& name);
    std::string log(const std::string& name) const; // the log written so far

    // A client must not outlive the fleet.
    StreamClient& client(const std::string& address);
    // The answer to one request on a separate connection, complete or not.
    const ClientAnswer& ask(const std::string& address, const ClientRequest& request);
    // Runs the loop until the condition holds; returns false on timeout.
    bool until(const std::function<bool()>& holds);

    transport::Loop& loop() { return loop_; }
    // Called in each iteration of `until`, for other objects in the loop.
    void call_each_turn(std::function<void()> pass) { call_each_turn_ = std::move(pass); }
    std::string platform() const { return address(41, 8168); }

  private:
    void start(const std::string& run, const std::string& build, const PlatformSettings& platform,
               const FleetLimits& limits);
    void await_ready();
    void stop();
    void end_restarted();

    transport::Loop loop_;
    std::string network_, folder_, program_; // the program's path
    pid_t process_ = -1;
    std::vector<pid_t> restarted_; // the children of this process
    std::function<void()> call_each_turn_;
    int input_ = -1, output_ = -1;
    std::vector<std::unique_ptr<StreamClient>> clients_;
};

} // namespace ivyrill::lab
