// The adapter's loop: reads batches from standard input, deals the events to the instances, writes one reply
// a batch. Malformed input ends the process with a message on standard error and a non-zero exit.
#include "drill/instance.hpp"
#include "drill/wire.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <limits>
#include <set>

namespace ivyrill::drill {

namespace {

constexpr std::size_t kSheets = 16; // the wire numbers its lists 0 to 15
constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();

class Drill {
  public:
    // Returns the reply to the batch that `opening` begins.
    std::string batch(const std::string& opening, std::istream& in) {
        const Line begin(opening);
        if (begin.name() != "BEGIN_BATCH") throw WireError("expected BEGIN_BATCH: " + opening.substr(0, 80));
        now_ = tenths_to_use(begin.integer_within("TimeUs", 0, kMost));
        heard_.clear();
        here_ = nullptr;
        for (std::string text;;) {
            if (!std::getline(in, text)) throw WireError("input ended inside a batch");
            if (text.empty()) continue;
            const Line line(text);
            if (line.name() == "EOB") break;
            apply(line, in);
        }
        std::string reply;
        for (const std::string& node : heard_) {
            const auto found = nodes_.find(node);
            if (found == nodes_.end()) continue;
            const std::string actions = found->second.decide(now_);
            if (!actions.empty()) reply.append("ON_BEHALF Node=").append(node).append("\n").append(actions);
        }
        return reply + "ACK round=" + std::string(begin.text("round")) + "\n";
    }

  private:
    void apply(const Line& line, std::istream& in) {
        if (line.name() == "LIST") return read_sheet(line, in);
        if (line.name() == "SWITCH_TO") {
            here_ = &*names_.emplace(line.text("Node")).first;
            return;
        }
        if (here_ == nullptr) return; // an unknown message for no instance
        if (line.name() == "KILLED") {
            nodes_.erase(*here_);
            return;
        }
        if (std::find(heard_.begin(), heard_.end(), *here_) == heard_.end()) heard_.push_back(*here_);
        if (line.name() == "OPEN_INSTANCE") {
            nodes_.erase(*here_);
            nodes_.try_emplace(*here_, read_terms(line));
            return;
        }
        const auto found = nodes_.find(*here_);
        if (found == nodes_.end()) return; // nothing is owed for an instance that does not run
        if (line.name() == "ENDPOINTS") {
            const ListKind kind = read_list_kind(line.text("Scope"));
            const bool listed = kind != ListKind::kLost;
            found->second.apply_list(now_, kind, listed ? sheets_.at(sheet_number(line)) : Sheet{});
        } else {
            found->second.apply(now_, line);
        }
    }

    static std::size_t sheet_number(const Line& line) {
        return static_cast<std::size_t>(line.integer_within("Sheet", 0, kSheets - 1));
    }

    void read_sheet(const Line& line, std::istream& in) {
        Sheet sheet;
        for (std::int64_t left = line.integer_within("Rows", 0, kMost); left > 0; --left) {
            std::string text;
            if (!std::getline(in, text)) throw WireError("input ended inside a list");
            const Line row(text);
            if (row.name() != "ENTRY") throw WireError("expected ENTRY: " + text.substr(0, 80));
            sheet.push_back({std::string(row.text("Server")), read_entry(row)});
        }
        sheets_.at(sheet_number(line)) = std::move(sheet);
    }

    static ListEntry read_entry(const Line& row) {
        constexpr std::int64_t kMostIndex = std::numeric_limits<std::int32_t>::max();
        const auto place = [&row](std::string_view field) {
            return row.has(field) ? static_cast<std::int32_t>(row.integer_within(field, 0, kMostIndex)) : 0;
        };
        ListEntry entry;
        entry.zone = ZoneNo{place("Dc")};
        entry.kind = KindNo{place("ClassOfHost")};
        entry.cell = CellNo{place("SetNo")};
        if (row.has("Availability")) entry.listed = read_listed(row.text("Availability"));
        entry.weight = row.number("Weight", 1);
        // A later start keeps a server cold for longer: the safe side.
        entry.started = row.has("BornUs") ? tenths_to_wait(row.integer_within("BornUs", 0, kMost)) : 0;
        return entry;
    }

    Tenths now_ = 0;
    std::map<std::string, Instance> nodes_;
    std::set<std::string, std::less<>> names_;
    std::vector<std::string> heard_; // in this batch, in order
    const std::string* here_ = nullptr;
    std::array<Sheet, kSheets> sheets_;
};

} // namespace

} // namespace ivyrill::drill

int main() {
    std::ios::sync_with_stdio(false);
    ivyrill::drill::Drill drill;
    try {
        for (std::string text; std::getline(std::cin, text);) {
            if (text.empty()) continue;
            std::cout << drill.batch(text, std::cin) << std::flush;
        }
    } catch (const std::exception& error) {
        std::cerr << "ivyrill_drill: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
