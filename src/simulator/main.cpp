// The simulator's adapter: runs the search scheduler of several simulated front nodes in one process. Reads
// batches of events from standard input, passes them to the instances and writes one reply per batch.
// Malformed input ends the process with a message on standard error and a non-zero status.
#include "simulator/instance.hpp"
#include "simulator/wire.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <limits>
#include <set>

namespace ivyrill::simulator {

namespace {

constexpr std::size_t kEndpointLists = 16; // the protocol numbers them 0 to 15
constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

class Adapter {
  public:
    // Returns the reply to the batch that `opening` begins.
    std::string process_batch(const std::string& opening, std::istream& in) {
        const Message begin(opening);
        if (begin.name() != "BEGIN_BATCH") throw WireError("expected BEGIN_BATCH: " + opening.substr(0, 80));
        now_ = ticks_rounded_down(begin.integer_within("TimeUs", 0, kMaxInteger));
        addressed_nodes_.clear();
        current_node_ = nullptr;
        for (std::string text;;) {
            if (!std::getline(in, text)) throw WireError("input ended inside a batch");
            if (text.empty()) continue;
            const Message message(text);
            if (message.name() == "EOB") break;
            apply(message, in);
        }
        std::string reply;
        for (const std::string& node : addressed_nodes_) {
            const auto found = instances_.find(node);
            if (found == instances_.end()) continue;
            const std::string actions = found->second.decide(now_);
            if (!actions.empty()) reply.append("ON_BEHALF Node=").append(node).append("\n").append(actions);
        }
        return reply + "ACK round=" + std::string(begin.text("round")) + "\n";
    }

  private:
    void apply(const Message& message, std::istream& in) {
        if (message.name() == "LIST") return read_endpoint_list(message, in);
        if (message.name() == "SWITCH_TO") {
            current_node_ = &*names_.emplace(message.text("Node")).first;
            return;
        }
        if (current_node_ == nullptr) return; // a message for no instance is ignored
        if (message.name() == "KILLED") {
            instances_.erase(*current_node_);
            return;
        }
        if (std::find(addressed_nodes_.begin(), addressed_nodes_.end(), *current_node_) ==
            addressed_nodes_.end())
            addressed_nodes_.push_back(*current_node_);
        if (message.name() == "OPEN_INSTANCE") {
            instances_.erase(*current_node_);
            instances_.try_emplace(*current_node_, read_scheduler_config(message));
            return;
        }
        const auto found = instances_.find(*current_node_);
        if (found == instances_.end()) return; // the instance does not run: no reply is due
        if (message.name() == "ENDPOINTS") {
            const ServerListKind kind = read_list_kind(message.text("Scope"));
            const bool listed = kind != ServerListKind::kQueryFailed;
            found->second.apply_list(
                now_, kind, listed ? endpoint_lists_.at(endpoint_list_index(message)) : EndpointList{});
        } else {
            found->second.apply(now_, message);
        }
    }

    static std::size_t endpoint_list_index(const Message& message) {
        return static_cast<std::size_t>(message.integer_within("Sheet", 0, kEndpointLists - 1));
    }

    void read_endpoint_list(const Message& message, std::istream& in) {
        EndpointList endpoints;
        for (std::int64_t remaining = message.integer_within("Rows", 0, kMaxInteger); remaining > 0;
             --remaining) {
            std::string text;
            if (!std::getline(in, text)) throw WireError("input ended inside a list");
            const Message row(text);
            if (row.name() != "ENTRY") throw WireError("expected ENTRY: " + text.substr(0, 80));
            endpoints.push_back({std::string(row.text("Server")), read_entry(row)});
        }
        endpoint_lists_.at(endpoint_list_index(message)) = std::move(endpoints);
    }

    static ListEntry read_entry(const Message& row) {
        constexpr std::int64_t kMaxIndex = std::numeric_limits<std::int32_t>::max();
        const auto index_field = [&row](std::string_view field) {
            return row.has(field) ? static_cast<std::int32_t>(row.integer_within(field, 0, kMaxIndex)) : 0;
        };
        ListEntry entry;
        entry.zone = ZoneNo{index_field("Dc")};
        entry.kind = KindNo{index_field("ClassOfHost")};
        entry.cell = CellNo{index_field("SetNo")};
        if (row.has("Availability")) entry.listed = read_listed(row.text("Availability"));
        entry.weight = row.number("Weight", 1);
        // Rounded up: a later start treats the server as cold for longer, which is safe.
        entry.started =
            row.has("BornUs") ? ticks_rounded_up(row.integer_within("BornUs", 0, kMaxInteger)) : 0;
        return entry;
    }

    Ticks now_ = 0;
    std::map<std::string, SimulatedFrontNode> instances_;
    std::set<std::string, std::less<>> names_;
    std::vector<std::string> addressed_nodes_; // in this batch, in order of appearance
    const std::string* current_node_ = nullptr;
    std::array<EndpointList, kEndpointLists> endpoint_lists_;
};

} // namespace

} // namespace ivyrill::simulator

int main() {
    std::ios::sync_with_stdio(false);
    ivyrill::simulator::Adapter adapter;
    try {
        for (std::string text; std::getline(std::cin, text);) {
            if (text.empty()) continue;
            std::cout << adapter.process_batch(text, std::cin) << std::flush;
        }
    } catch (const std::exception& error) {
        std::cerr << "ivyrill_simulator_adapter: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
