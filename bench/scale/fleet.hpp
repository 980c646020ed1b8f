// The processes of one step: real ones of control, agent and proxy, and those of hollow agents and servers.
#pragma once
#include "scale/process.hpp"
#include "scale/sizes.hpp"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace ivyrill::scale {

struct AgentsState { // over all processes of hollow agents that answer
    std::size_t agents = 0, connected = 0, least_nodes = SIZE_MAX, most_nodes = 0, least_controls = SIZE_MAX;
    std::int64_t least_version = INT64_MAX;
    std::uint64_t ended = 0, went_back = 0, loads_told = 0, batches = 0, received = 0, sent = 0;
};
struct ServersSeen { // by the hollow agents
    std::size_t least = SIZE_MAX, most = 0, most_old = 0;
};
struct BeatsState {
    std::uint64_t beats = 0, acknowledged = 0, failed = 0, connections = 0;
    double longest_ms = 0;
    std::size_t released = 0;
};

class Fleet {
  public:
    Fleet(const Sizes& sizes, const std::string& program, const std::string& self,
          std::filesystem::path folder);
    ~Fleet();

    void start_controls();
    void start_nodes();
    void start_servers();
    void start_control(std::size_t number);
    // The status of the answer, 0 without one; the next control process is tried as PROTOCOL.md says.
    int put_configuration(std::int64_t base, std::int64_t version, double patience_s);
    std::int64_t read_version(std::size_t control); // of GET /config there; 0 without an answer
    std::size_t leader(); // number of the control process that owns the configuration

    AgentsState agents();
    ServersSeen servers_seen();
    BeatsState beats();
    void tell_agents(const std::string& line);
    void release(std::size_t count);
    std::size_t agents_in(std::size_t zone) const;

    std::vector<std::unique_ptr<Process>> controls, real_agents, real_proxies, agent_zones, server_parts;
    std::size_t readers = 0; // hollow agents that read reports

  private:
    std::string settings(const std::string& role, const std::string& name, const std::string& ip,
                         std::size_t zone);
    std::unique_ptr<Process> start_role(const std::string& role, const std::string& name,
                                        const std::string& ip, std::size_t zone);
    Sizes sizes_;
    std::string program_, self_;
    std::filesystem::path folder_;
    bool first_start_ = true;
};

// One call over a connection of its own: status and body; status 0 without an answer in time.
std::pair<int, std::string> call(const std::string& host, std::uint16_t port, const std::string& method,
                                 const std::string& target, const std::string& fields,
                                 const std::string& body, double patience_s);

} // namespace ivyrill::scale
