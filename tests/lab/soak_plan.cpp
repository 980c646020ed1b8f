#include "lab/soak_plan.hpp"

#include <algorithm>
#include <map>

namespace ivyrill::lab {

namespace {

constexpr Ticks kMs = kTicksPerSecond / 1000;
constexpr Ticks kControlRecovers = 5 * kTicksPerSecond; // before the next control node is disturbed
constexpr Ticks kAddressReuseDelay = 2'500 * kMs;       // a little over `addrReuseS` of the settings

class Draw {
  public:
    Draw(std::uint64_t seed, const SoakSize& size) : random_(seed), size_(size) {}

    std::vector<SoakStep> steps() {
        for (Ticks at = span(0, size_.gap); at < size_.span; at += span(1, 2 * size_.gap)) draw(at);
        std::ranges::stable_sort(steps_, {}, &SoakStep::at);
        return std::move(steps_);
    }

  private:
    using Range = std::int64_t;
    Range number(Range least, Range most) {
        return least + static_cast<Range>(random_() % static_cast<std::uint64_t>(most - least + 1));
    }
    Ticks span(Ticks least, Ticks most) { return number(least, most); }
    bool chance(int percent) { return number(1, 100) <= percent; }
    void add(Ticks at, SoakAct act, SoakProcess process = {}) { steps_.push_back({at, act, process}); }

    SoakProcess draw_process() {
        const Range drawn = number(1, 100);
        if (drawn <= 35) return {SoakRole::kProxy, static_cast<int>(number(1, size_.edges))};
        if (drawn <= 50) return {SoakRole::kAgent, static_cast<int>(number(1, size_.edges))};
        if (drawn <= 65) return {SoakRole::kControl, static_cast<int>(number(1, size_.controls))};
        return {SoakRole::kServer, static_cast<int>(number(1, size_.servers))};
    }

    void draw(Ticks at) {
        const Range drawn = number(1, 100);
        if (drawn <= 25) return add(at, SoakAct::kChange);
        if (drawn <= 30) return add(at, SoakAct::kRace);
        if (drawn <= 34) return add(at, SoakAct::kInvalidChange);
        if (drawn <= 38) return restart_in_turn(at);
        if (drawn <= 41) return kill_many(at);
        disturb(at, draw_process());
    }

    // Returns false if too many control nodes are disturbed already.
    bool claim(SoakProcess process, Ticks at, Ticks until) {
        if (process.role != SoakRole::kControl) return true;
        int others = 0;
        for (const auto& [number, ends] : control_until_)
            if (number != process.number && ends + kControlRecovers > at) ++others;
        if (others >= (size_.controls - 1) / 2) return false;
        Ticks& own = control_until_[process.number];
        own = std::max(own, until);
        return true;
    }

    void disturb(Ticks at, SoakProcess process) {
        const Ticks back = at + span(50 * kMs, 3000 * kMs);
        const Range drawn = number(1, 100);
        if (drawn <= 15) {
            add(at, chance(50) ? SoakAct::kHangup : SoakAct::kHangupBroken, process);
            if (chance(50)) add(at + span(0, 300 * kMs), SoakAct::kHangup, process);
            return;
        }
        if (!claim(process, at, back)) return;
        if (drawn <= 35) {
            add(at, SoakAct::kStop, process);
            if (chance(30)) add(at + span(0, back - at), SoakAct::kTerminate, process); // waits for SIGCONT
            add(back, SoakAct::kContinue, process);
            add(back + kMs, SoakAct::kStart, process); // at the address where it ended
            return;
        }
        add(at, drawn <= 70 ? SoakAct::kTerminate : SoakAct::kKill, process);
        if (chance(25)) add(at + span(0, 500 * kMs), SoakAct::kHangup, process);
        if (chance(15)) add(at + span(0, back - at), SoakAct::kKill, process);
        const bool other = process.role == SoakRole::kServer && chance(40);
        const Ticks start = other ? back + kAddressReuseDelay : back;
        add(start, other ? SoakAct::kStartOther : SoakAct::kStart, process);
        if (chance(30)) add(start + span(50 * kMs, 1000 * kMs), SoakAct::kHangup, process);
    }

    void restart_in_turn(Ticks at) {
        const bool edges = chance(60);
        const int count = edges ? size_.edges : size_.controls;
        const Ticks gap = edges ? 2 * kTicksPerSecond : kControlRecovers + 3 * kTicksPerSecond;
        for (int number = 1; number <= count; ++number, at += gap) {
            const SoakProcess process{edges ? SoakRole::kProxy : SoakRole::kControl, number};
            if (at >= size_.span || !claim(process, at, at + kTicksPerSecond)) continue;
            add(at, SoakAct::kTerminate, process);
            add(at + 100 * kMs, SoakAct::kStart, process);
            if (!edges || !chance(50)) continue;
            add(at, SoakAct::kTerminate, {SoakRole::kAgent, number});
            add(at + 100 * kMs, SoakAct::kStart, {SoakRole::kAgent, number});
        }
    }

    void kill_many(Ticks at) {
        const SoakRole role = chance(50) ? SoakRole::kProxy : SoakRole::kAgent;
        for (int number = 1; number <= size_.edges; ++number) {
            if (!chance(60)) continue;
            add(at, SoakAct::kKill, {role, number});
            add(at + span(100 * kMs, 1000 * kMs), SoakAct::kStart, {role, number});
        }
    }

    std::mt19937_64 random_;
    SoakSize size_;
    std::map<int, Ticks> control_until_;
    std::vector<SoakStep> steps_;
};

} // namespace

std::string name_of(SoakProcess process) {
    constexpr const char* kNames[] = {"control", "agent", "proxy", "server"};
    return std::string(kNames[static_cast<std::size_t>(process.role)]) + "-" + std::to_string(process.number);
}

std::string name_of(SoakAct act) {
    constexpr const char* kNames[] = {"SIGTERM",       "SIGKILL",
                                      "start",         "start for another service",
                                      "SIGSTOP",       "SIGCONT",
                                      "SIGHUP",        "SIGHUP with broken settings",
                                      "change",        "two changes at once",
                                      "invalid change"};
    return kNames[static_cast<std::size_t>(act)];
}

std::vector<SoakStep> draw_soak(std::uint64_t seed, const SoakSize& size) { return Draw(seed, size).steps(); }

} // namespace ivyrill::lab
