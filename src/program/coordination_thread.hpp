// The warden on its socket, its ledger and its machines' keepers, in a thread of its own: a ledger is synced
// to the disk before a word goes out, and no search waits for that. The front node tells it the list and
// hears how many members there are; nothing else passes between the two.
#pragma once
#include "maintenance/maintenance_node.hpp"
#include "operator/operator_settings.hpp"
#include "protocol/messages.hpp"
#include "protocol/terms.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ivyrill::program {

class CoordinationThread {
  public:
    // Binds and opens all that it needs, or throws; nothing runs before `start`.
    CoordinationThread(const operators::OperatorSettings& orders, const std::string& secret,
                       const protocol::NodeTerms& terms, const std::string& name, std::uint64_t seed);
    ~CoordinationThread();
    CoordinationThread(const CoordinationThread&) = delete;
    CoordinationThread& operator=(const CoordinationThread&) = delete;
    void start();

    // From the front node's thread.
    void told(const protocol::ServerList& list);
    void strained(double share); // of the searches that were rejected of late
    void leave();                // tells the others; ends with the object
    std::size_t present() const; // members, ourselves among them
    int news() const;            // a descriptor that can be read when that number has changed
    int port() const;
    // Every machine's facts by the settings, and how it is by the list at that time.
    static std::map<std::string, maintenance::ObservedMachine>
    machines(const protocol::ServerList& list, const protocol::NodeTerms& terms,
             const std::map<std::string, Tenths>& work, Tenths wall);

  private:
    struct Inside;
    std::unique_ptr<Inside> inside_;
};

} // namespace ivyrill::program
