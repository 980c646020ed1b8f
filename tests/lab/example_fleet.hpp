// The whole fleet in real processes on loopback, by examples/fleet/run, and clients of it in the caller's
// loop. Each holds addresses of its own, so that several may run at once.
#pragma once
#include "lab/stream_client.hpp"

#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace ivyrill::lab {

class ExampleFleet {
  public:
    // Starts it and waits until it is ready. Throws std::runtime_error where it doesn't become so in time.
    ExampleFleet(const std::string& run, const std::string& build);
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
    std::string log(const std::string& name) const; // as far as it is written

    // A client lives as long as the fleet does.
    StreamClient& client(const std::string& address);
    // The answer to one request on a connection of its own, whole or not.
    const ClientAnswer& ask(const std::string& address, const ClientRequest& request);
    // Turns the loop until that holds; false where it doesn't within the patience.
    bool until(const std::function<bool()>& holds);

  private:
    void start(const std::string& run, const std::string& build);
    void await_ready();
    void stop();

    transport::Loop loop_;
    std::string network_, folder_;
    pid_t process_ = -1;
    int input_ = -1, output_ = -1;
    std::vector<std::unique_ptr<StreamClient>> clients_;
};

} // namespace ivyrill::lab
