// Measures the guarantees of the control side: histories of whole control nodes with agents, servers and
// operators in virtual time, a plan for each of the five failures that must not occur, and the faults planted
// in them. The last line is one JSON object; the exit status is 1 if a guarantee is violated or a planted
// fault is not found. `--seed N` runs one history and prints its trace, `--duty-seed N` one of duties;
// `--histories N` runs that many, and a third as many of duties; `--duty-histories N` runs only that many of
// duties.
#include "lab/control_world.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace ivyrill::lab;
using nlohmann::json;

constexpr std::uint64_t kHistories = 10'000, kControlForOneOfDuties = 3;

int print_history(ControlPlan plan) {
    plan.records_trace = true;
    ControlWorld world(plan);
    world.play();
    for (const std::string& line : world.trace()) std::cout << line << "\n";
    for (const std::string& what : world.violations()) std::cout << "violation: " << what << "\n";
    return world.violations().empty() ? 0 : 1;
}

struct Totals {
    std::uint64_t violations = 0, faults = 0, acknowledged = 0, refused = 0, sent_again = 0, reads = 0,
                  leavings = 0, disks_lost = 0, orders_to_servers = 0, orders_accepted = 0;
    std::array<std::uint64_t, 5> provoked{};
    void add(const ControlWorld& world) {
        const ControlCounts& counts = world.counts();
        violations += world.violations().size();
        faults += counts.faults, acknowledged += counts.acknowledged, refused += counts.refused;
        sent_again += counts.sent_again, reads += counts.reads, leavings += counts.leavings;
        disks_lost += counts.disks_lost;
        orders_to_servers += counts.orders_to_servers, orders_accepted += counts.orders_accepted;
        for (std::size_t i = 0; i < provoked.size(); ++i) provoked[i] += counts.provoked[i] ? 1 : 0;
    }
};

Totals play_histories(std::uint64_t count, ControlPlan (*plan_of_seed)(std::uint64_t), const char* kind) {
    std::atomic<std::uint64_t> next = 1;
    std::mutex mutex;
    Totals totals;
    std::vector<std::thread> players;
    for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i)
        players.emplace_back([&] {
            for (std::uint64_t seed; (seed = next++) <= count;) {
                ControlWorld world(plan_of_seed(seed));
                world.play();
                const std::lock_guard lock(mutex);
                totals.add(world);
                for (const std::string& what : world.violations())
                    std::cerr << kind << " seed " << seed << ": " << what << "\n";
            }
        });
    for (auto& player : players) player.join();
    return totals;
}

json measured_histories(std::uint64_t histories) {
    const auto began = std::chrono::steady_clock::now();
    const std::uint64_t duty_histories = histories / kControlForOneOfDuties;
    const Totals control = play_histories(histories, control_plan_of_seed, "control");
    const Totals duty = play_histories(duty_histories, duty_plan_of_seed, "duty");
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - began;
    return {{"histories", histories},
            {"violations", control.violations},
            {"five", control.provoked},
            {"faults", control.faults},
            {"acknowledged", control.acknowledged},
            {"refused", control.refused},
            {"sent_again", control.sent_again},
            {"reads", control.reads},
            {"leavings", control.leavings},
            {"disks_lost", control.disks_lost},
            {"duty_histories", duty_histories},
            {"duty_violations", duty.violations},
            {"duty_faults", duty.faults},
            {"orders_to_servers", duty.orders_to_servers},
            {"orders_taken", duty.orders_accepted},
            {"histories_s", took.count()}};
}

// Only seeds 1 to `histories`.
int print_duties(std::uint64_t histories) {
    const Totals duty = play_histories(histories, duty_plan_of_seed, "duty");
    std::cout << json{{"duty_histories", histories}, {"duty_violations", duty.violations}}.dump() << "\n";
    return duty.violations == 0 ? 0 : 1;
}

// The faults exist in another build of the libraries, and therefore in another program.
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
    std::uint64_t histories = kHistories;
    if (count == 3 && std::string(words[1]) == "--seed")
        return print_history(control_plan_of_seed(std::strtoull(words[2], nullptr, 10)));
    if (count == 3 && std::string(words[1]) == "--duty-seed")
        return print_history(duty_plan_of_seed(std::strtoull(words[2], nullptr, 10)));
    if (count == 3 && std::string(words[1]) == "--duty-histories")
        return print_duties(std::strtoull(words[2], nullptr, 10));
    if (count == 3 && std::string(words[1]) == "--histories")
        histories = std::strtoull(words[2], nullptr, 10);
    json made = measured_histories(histories);
    made.update(play_planted());
    const bool kept = made["violations"] == 0 && made["duty_violations"] == 0 && made["planted"] > 0 &&
                      made["planted_found"] == made["planted"];
    std::cout << made.dump() << "\n";
    return kept ? 0 : 1;
}
