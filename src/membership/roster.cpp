#include "membership/roster.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace ivyrill::membership {

namespace {

constexpr int kMostIll = 8; // Lifeguard's bound: so many times the patience at most, and one
constexpr int kSeekGaps =
    10; // probe gaps between calls to those who are not there, lest a cut stays for ever
constexpr int kStallGaps = 1; // a step later than so many gaps is our own stall

bool gone(Standing standing) { return standing == Standing::kFailed || standing == Standing::kLeft; }

// Of two rumours about one member the later life counts, and within one life the worse: only the member
// itself can take that back, by a new life.
std::pair<Incarnation, int> rank(Incarnation incarnation, Standing standing) {
    return {incarnation, static_cast<int>(standing)};
}

} // namespace

Roster::Roster(RosterTerms terms, Tenths now)
    : terms_(std::move(terms)), chance_(terms_.seed), now_(now), incarnation_(terms_.incarnation) {
    // Each starts its round at a moment of its own, or all would probe at once after a common start.
    probe_at_ = now + static_cast<Tenths>(chance_.unit() * static_cast<double>(terms_.probe_gap));
    seek_at_ = now;
}

std::size_t Roster::present() const {
    return 1 + static_cast<std::size_t>(
                   std::ranges::count_if(members_, [](auto& held) { return !gone(held.second.standing); }));
}

Standing Roster::standing_of(const std::string& name) const {
    if (name == terms_.name) return over_ ? Standing::kLeft : Standing::kAlive;
    const auto found = members_.find(name);
    return found == members_.end() ? Standing::kFailed : found->second.standing;
}

std::vector<Roster::Seen> Roster::seen() const {
    std::vector<Seen> all;
    for (const auto& [name, member] : members_)
        all.push_back({name, member.address, member.standing, member.since});
    return all;
}

const std::string* Roster::address_of(const std::string& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second.address;
}

double Roster::logarithm() const { return std::max(1.0, std::log10(static_cast<double>(present()))); }

Tenths Roster::suspicion_span() const {
    return static_cast<Tenths>(terms_.suspicion * logarithm() * static_cast<double>(terms_.probe_gap)) *
           (1 + ill_);
}

Tenths Roster::next() const {
    Tenths first = std::min(probe_at_, seek_at_);
    if (!probe_.target.empty()) first = std::min(first, probe_.helped ? probe_.ends : probe_.answer_by);
    for (const auto& [name, member] : members_)
        if (member.standing == Standing::kSuspect) first = std::min(first, member.fails_at);
    return first;
}

std::vector<Effect> Roster::hear(Tenths now, const Datagram& datagram) {
    now_ = std::max(now_, now);
    if (over_ || datagram.from == terms_.name) return {};
    ++counts_.heard;
    for (const Rumour& rumour : datagram.rumours) take(rumour);
    if (datagram.kind == Kind::kPing) {
        send(datagram.address, {Kind::kAck, terms_.name, terms_.address, datagram.serial, terms_.name, {}});
    } else if (datagram.kind == Kind::kPingFor) {
        const auto target = members_.find(datagram.target);
        if (target != members_.end() && favours_.size() < terms_.most_kept) {
            const std::uint64_t serial = next_serial_++;
            favours_[serial] = {datagram.address, datagram.target, datagram.serial, now_ + terms_.probe_gap};
            send(target->second.address, {Kind::kPing, terms_.name, terms_.address, serial, {}, {}});
        }
    } else if (probe_.serial == datagram.serial && probe_.target == datagram.target &&
               !probe_.target.empty()) {
        probe_ = {};
        ill_ = std::max(0, ill_ - 1);
    } else if (const auto favour = favours_.find(datagram.serial);
               favour != favours_.end() && favour->second.target == datagram.from) {
        send(favour->second.asker,
             {Kind::kAck, terms_.name, terms_.address, favour->second.serial, favour->second.target, {}});
        favours_.erase(favour);
    }
    return std::exchange(effects_, {});
}

std::vector<Effect> Roster::step(Tenths now) {
    const Tenths due = next();
    now_ = std::max(now_, now);
    if (over_) return {};
    if (now_ > due + kStallGaps * terms_.probe_gap) forgive_stall(now_ - due);
    if (!probe_.target.empty() && !probe_.helped && now_ >= probe_.answer_by) {
        probe_.helped = true;
        std::vector<std::string> helpers;
        for (const auto& [name, member] : members_)
            if (member.standing == Standing::kAlive && name != probe_.target) helpers.push_back(name);
        for (int i = 0; i < terms_.helpers && !helpers.empty(); ++i) {
            ++counts_.helped;
            send(members_.at(draw(helpers)).address,
                 {Kind::kPingFor, terms_.name, terms_.address, probe_.serial, probe_.target, {}});
        }
    }
    if (!probe_.target.empty() && now_ >= probe_.ends) {
        const std::string name = std::exchange(probe_, {}).target;
        const auto target = members_.find(name);
        fall_ill(1); // perhaps it is we who do not hear
        if (target != members_.end() && target->second.standing == Standing::kAlive) {
            ++counts_.suspected;
            set(name, target->second, Standing::kSuspect, target->second.incarnation);
        }
    }
    for (auto& [name, member] : members_)
        if (member.standing == Standing::kSuspect && now_ >= member.fails_at)
            set(name, member, Standing::kFailed, member.incarnation);
    if (now_ >= probe_at_) probe_next();
    if (now_ >= seek_at_) seek_peers();
    std::erase_if(favours_, [this](auto& held) { return now_ >= held.second.ends; });
    return std::exchange(effects_, {});
}

// One of them by chance, that is not drawn again.
std::string Roster::draw(std::vector<std::string>& names) {
    const auto pick = names.begin() + static_cast<std::ptrdiff_t>(chance_.unit() * names.size());
    std::string name = std::move(*pick);
    names.erase(pick);
    return name;
}

// A member that goes says so, and is never taken for one that has failed.
std::vector<Effect> Roster::leave(Tenths now) {
    now_ = std::max(now_, now);
    if (std::exchange(over_, true)) return {};
    std::vector<std::string> told;
    for (const auto& [name, member] : members_)
        if (!gone(member.standing)) told.push_back(member.address);
    const Rumour word{terms_.name, terms_.address, incarnation_, Standing::kLeft};
    for (double left = terms_.spread * logarithm(); left > 0 && !told.empty(); --left) {
        ++counts_.sent;
        effects_.push_back(Send{draw(told), {Kind::kAck, terms_.name, terms_.address, 0, {}, {word}}});
    }
    return std::exchange(effects_, {});
}

// We have slept: what we waited for may have come and gone meanwhile, and every suspect has had less time to
// answer than we thought. We doubt ourselves before we doubt others.
void Roster::forgive_stall(Tenths late) {
    ++counts_.stalls;
    fall_ill(1);
    probe_ = {};
    favours_.clear();
    for (auto& [name, member] : members_)
        if (member.standing == Standing::kSuspect) member.fails_at += late;
    probe_at_ = std::max(probe_at_, now_), seek_at_ = now_; // what we missed is asked for at once
}

void Roster::fall_ill(int by) { ill_ = std::min(ill_ + by, kMostIll); }

void Roster::probe_next() {
    probe_at_ = now_ + terms_.probe_gap * (1 + ill_);
    if (!probe_.target.empty()) return; // the one before has not ended
    for (bool fresh = false;;) {
        if (round_.empty()) {
            if (std::exchange(fresh, true)) return; // nobody is there
            for (const auto& [name, member] : members_)
                if (!gone(member.standing)) round_.push_back(name);
            for (std::size_t i = round_.size(); i > 1; --i)
                std::swap(round_[i - 1], round_[static_cast<std::size_t>(chance_.unit() * i)]);
            if (round_.empty()) return;
        }
        const std::string name = std::move(round_.back());
        round_.pop_back();
        const auto target = members_.find(name);
        if (target == members_.end() || gone(target->second.standing)) continue;
        ++counts_.probes;
        probe_ = {name, next_serial_++, now_ + terms_.answer_span * (1 + ill_),
                  now_ + terms_.probe_gap * (1 + ill_), false};
        return send(target->second.address,
                    {Kind::kPing, terms_.name, terms_.address, probe_.serial, {}, {}});
    }
}

// One of those who are named in the file or were there once, and are not now: joins us at the start, and
// brings two halves together after a cut in which each took the other for failed.
void Roster::seek_peers() {
    std::vector<std::string> wanted;
    const auto present_at = [this](const std::string& address) {
        return address == terms_.address || std::ranges::any_of(members_, [&](auto& held) {
                   return held.second.address == address && !gone(held.second.standing);
               });
    };
    for (const std::string& peer : terms_.peers)
        if (!present_at(peer)) wanted.push_back(peer);
    for (const auto& [name, member] : members_)
        if (member.standing == Standing::kFailed && !present_at(member.address))
            wanted.push_back(member.address);
    const bool alone = present() == 1;
    const double gaps = (alone ? 1 : kSeekGaps) * (0.5 + chance_.unit());
    seek_at_ = now_ + static_cast<Tenths>(gaps * static_cast<double>(terms_.probe_gap));
    if (wanted.empty()) return;
    const std::string& address = wanted[static_cast<std::size_t>(chance_.unit() * wanted.size())];
    send(address, {Kind::kPing, terms_.name, terms_.address, 0, {}, {}});
}

void Roster::take(const Rumour& rumour) {
    if (rumour.name == terms_.name) {
        if (rumour.address != terms_.address && !rumour.address.empty()) {
            ++counts_.twins; // to outbid it would go on for ever
            return;
        }
        const bool worse = rumour.standing != Standing::kAlive && rumour.incarnation >= incarnation_;
        if (worse || rumour.incarnation > incarnation_) refute(rumour.incarnation);
        return;
    }
    auto found = members_.find(rumour.name);
    if (found == members_.end()) {
        if (members_.size() >= terms_.most_kept) forget_gone();
        if (members_.size() >= terms_.most_kept) return void(++counts_.overfull);
        found = members_.emplace(rumour.name, Member{rumour.address, 0, Standing::kFailed, now_, 0}).first;
    }
    Member& member = found->second;
    if (rank(rumour.incarnation, rumour.standing) <= rank(member.incarnation, member.standing)) return;
    if (!rumour.address.empty()) member.address = rumour.address;
    set(rumour.name, member, rumour.standing, rumour.incarnation);
}

// What is said of us is not so, or is of a life that we have no memory of: we are here, in a later one.
void Roster::refute(Incarnation above) {
    ++counts_.refuted;
    incarnation_ = above + 1;
    fall_ill(1); // somebody did not hear us in time
    spread(word_on_us());
    std::vector<std::string> told; // at once, as the time to answer is running
    for (const auto& [name, member] : members_)
        if (member.standing == Standing::kAlive) told.push_back(member.address);
    for (int i = 0; i < terms_.helpers && !told.empty(); ++i) {
        send(draw(told), {Kind::kAck, terms_.name, terms_.address, 0, {}, {}});
    }
}

void Roster::set(const std::string& name, Member& member, Standing standing, Incarnation incarnation) {
    const bool news = member.standing != standing;
    member.standing = standing, member.incarnation = incarnation, member.since = now_;
    if (standing == Standing::kSuspect) member.fails_at = now_ + suspicion_span();
    spread({name, member.address, incarnation, standing});
    if (news) effects_.push_back(Changed{name, standing, incarnation});
}

void Roster::spread(const Rumour& rumour) { rumours_[rumour.name] = {rumour, 0}; }

// The rumours told least go first. Whoever is doubted hears that before all else, so that it can speak up.
void Roster::send(const std::string& address, Datagram datagram) {
    datagram.rumours.push_back(word_on_us());
    for (const auto& [name, member] : members_)
        if (member.address == address && member.standing != Standing::kAlive)
            datagram.rumours.push_back({name, member.address, member.incarnation, member.standing});
    std::vector<Told*> fresh;
    for (auto& [name, told] : rumours_) fresh.push_back(&told);
    std::ranges::stable_sort(fresh, {}, &Told::times);
    for (Told* told : fresh) {
        if (datagram.rumours.size() >= terms_.most_told) break;
        datagram.rumours.push_back(told->rumour), ++told->times;
    }
    // Rumours reach nearly all, by chance. What room is left goes to the others in turn, so that in the end
    // all do.
    for (std::size_t i = 0; i < members_.size() && datagram.rumours.size() < terms_.most_told; ++i) {
        auto in_turn = members_.upper_bound(told_last_);
        if (in_turn == members_.end()) in_turn = members_.begin();
        told_last_ = in_turn->first;
        const Member& member = in_turn->second;
        if (!gone(member.standing) && member.address != address)
            datagram.rumours.push_back({told_last_, member.address, member.incarnation, member.standing});
    }
    const double enough = terms_.spread * std::ceil(logarithm());
    std::erase_if(rumours_, [enough](auto& held) { return held.second.times >= enough; });
    ++counts_.sent;
    effects_.push_back(Send{address, std::move(datagram)});
}

// At the bound those go first that have been gone for longest. What is present is never forgotten.
void Roster::forget_gone() {
    auto oldest = members_.end();
    for (auto held = members_.begin(); held != members_.end(); ++held)
        if (gone(held->second.standing) &&
            (oldest == members_.end() || held->second.since < oldest->second.since))
            oldest = held;
    if (oldest != members_.end()) members_.erase(oldest);
}

} // namespace ivyrill::membership
