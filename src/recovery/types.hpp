// What the plan for lost sites speaks of. Names, not numbers: front nodes tell them to each other, and each
// numbers its own. Times are tenths of a millisecond, rates a second, work in parts.
#pragma once
#include "base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ivyrill::recovery {

using SiteName = std::string;

// Of a site, as one front node sees it.
enum class SiteState {
    kSound,
    kDoubted,   // a good part of it fails; it is used with care
    kSevered,   // we do not reach it and others do
    kLost,      // nobody reaches it
    kReturning, // it shows life; nothing but a trial goes there until the wait is over
    kWarming    // it is given back its load, in steps
};
const char* word_of(SiteState state);
std::optional<SiteState> state_named(const std::string& word);
inline bool is_away(SiteState state) {
    return state == SiteState::kSevered || state == SiteState::kLost || state == SiteState::kReturning;
}

struct ServerSeen { // by the list
    SiteName site;
    std::vector<int> shards;
    double power = 1; // weight
    bool live = true, draining = false;
    Tenths born = 0;
};

using ClassKey = std::pair<std::string, std::string>; // request class, tenant (empty: none that is known)

struct RequestClassFacts {
    double utility = 1, floor = 1, need = 1, late_utility_ratio = 0;
    Tenths due = 0;
    bool once = false; // at most
};

// What a front node counted since it last told: of index servers, and of searches.
struct ServerTally {
    std::uint32_t answered = 0; // attempts and probes, errors among them: it was reached
    std::uint32_t unheard = 0;  // timed out, not connected, broken
    std::uint32_t good = 0;
    Tenths took = 0;       // of the good ones, summed
    Tenths oldest_out = 0; // since when the oldest attempt is out; 0: none
    // By its reports: the most parts worked on while others waited; answers while none did, and their time.
    double busy = 0;
    std::uint32_t quiet = 0;
    Tenths quiet_took = 0;
};
struct ClassTally {
    std::uint32_t asked = 0, delivered = 0, in_time = 0, rejected = 0, failed = 0;
    std::uint64_t parts = 0;
};
struct Tally {
    std::map<std::string, ServerTally> servers;
    std::map<ClassKey, ClassTally> classes;
    std::uint64_t attempts = 0, searches = 0;
    std::map<int, std::uint64_t> shards; // parts asked for
    void add(const Tally& other);
};

struct Demand { // of all front nodes together, as far as it is known
    struct Row {
        double searches = 0; // a second
        double parts = 1;    // a search
    };
    std::map<ClassKey, Row> rows;
    std::map<int, double> shards; // share of all parts that each shard gets
    double parts() const {
        double sum = 0;
        for (const auto& [key, row] : rows) sum += row.searches * row.parts;
        return sum;
    }
};

} // namespace ivyrill::recovery
