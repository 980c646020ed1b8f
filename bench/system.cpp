// Measures the guarantees of the control plane: histories of consensus groups in virtual time, and the faults
// planted in them. The last line is one JSON object; the exit status is 1 if a guarantee is violated.
// `--long` runs ten times as many histories.
#include "lab/consensus_world.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace ivyrill::lab;
using nlohmann::json;

constexpr std::uint64_t kSchedules = 2000, kLongSchedules = 20000;
constexpr unsigned kThreads = 3;

json play_histories(std::uint64_t count) {
    std::atomic<std::uint64_t> next = 1;
    std::mutex mutex;
    std::uint64_t violations = 0, faults = 0, acknowledged = 0, reads = 0, elections = 0, changes = 0,
                  lost = 0;
    const auto began = std::chrono::steady_clock::now();
    std::vector<std::thread> players;
    for (unsigned i = 0; i < kThreads; ++i)
        players.emplace_back([&] {
            for (std::uint64_t seed; (seed = next++) <= count;) {
                ConsensusWorld world(plan_of_seed(seed));
                world.play();
                const std::lock_guard lock(mutex);
                const ConsensusCounts& counts = world.counts();
                faults += counts.faults;
                acknowledged += counts.acknowledged;
                reads += counts.reads;
                elections += counts.elections;
                changes += counts.changes_of_voters;
                lost += counts.wiped + counts.replaced;
                violations += world.violations().size();
                for (const std::string& what : world.violations())
                    std::cerr << "seed " << seed << " " << what << "\n";
            }
        });
    for (auto& player : players) player.join();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    return {{"schedules", count},           {"violations", violations}, {"faults", faults},
            {"acknowledged", acknowledged}, {"reads", reads},           {"elections", elections},
            {"changes_of_voters", changes}, {"disks_lost", lost},       {"schedules_s", took.count()}};
}

// The faults exist in another build of the library, and therefore in another program.
json play_planted() {
    json made{{"planted", 0}, {"planted_found", 0}};
    FILE* program = popen(IVYRILL_PLANTED_PROGRAM, "r");
    if (!program) return made;
    std::string text;
    std::array<char, 4096> part{};
    while (const std::size_t got = fread(part.data(), 1, part.size(), program)) text.append(part.data(), got);
    if (pclose(program) != 0) std::cerr << "error: a planted fault was not found\n";
    const json said = json::parse(text, nullptr, false);
    if (said.is_object()) made.update(said);
    return made;
}

} // namespace

int main(int count, char** words) {
    const bool longer = count > 1 && std::string(words[1]) == "--long";
    json made = play_histories(longer ? kLongSchedules : kSchedules);
    made.update(play_planted());
    const bool kept =
        made["violations"] == 0 && made["planted"] > 0 && made["planted_found"] == made["planted"];
    std::cout << made.dump() << "\n";
    return kept ? 0 : 1;
}
