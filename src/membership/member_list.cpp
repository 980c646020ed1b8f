#include "membership/member_list.hpp"

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

bool gone(MemberState state) { return state == MemberState::kFailed || state == MemberState::kLeft; }

// Of two rumours about one member the later life counts, and within one life the worse: only the member
// itself can take that back, by a new life.
std::pair<Incarnation, int> rank(Incarnation incarnation, MemberState state) {
    return {incarnation, static_cast<int>(state)};
}

} // namespace

MemberList::MemberList(MemberListOptions options, Tenths now)
    : options_(std::move(options)), chance_(options_.seed), now_(now), incarnation_(options_.incarnation) {
    // Each starts its round at a moment of its own, or all would probe at once after a common start.
    probe_at_ = now + static_cast<Tenths>(chance_.unit() * static_cast<double>(options_.probe_interval));
    seek_at_ = now;
}

std::size_t MemberList::present_count() const {
    return 1 + static_cast<std::size_t>(
                   std::ranges::count_if(members_, [](auto& held) { return !gone(held.second.state); }));
}

MemberState MemberList::state_of(const std::string& name) const {
    if (name == options_.name) return over_ ? MemberState::kLeft : MemberState::kAlive;
    const auto found = members_.find(name);
    return found == members_.end() ? MemberState::kFailed : found->second.state;
}

std::vector<MemberList::MemberInfo> MemberList::members() const {
    std::vector<MemberInfo> all;
    for (const auto& [name, member] : members_)
        all.push_back({name, member.address, member.state, member.since});
    return all;
}

const std::string* MemberList::address_of(const std::string& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second.address;
}

double MemberList::logarithm() const {
    return std::max(1.0, std::log10(static_cast<double>(present_count())));
}

Tenths MemberList::suspicion_span() const {
    return static_cast<Tenths>(options_.suspicion_factor * logarithm() *
                               static_cast<double>(options_.probe_interval)) *
           (1 + ill_);
}

Tenths MemberList::next_step() const {
    Tenths first = std::min(probe_at_, seek_at_);
    if (!probe_.target.empty()) first = std::min(first, probe_.helped ? probe_.ends : probe_.answer_by);
    for (const auto& [name, member] : members_)
        if (member.state == MemberState::kSuspect) first = std::min(first, member.fails_at);
    return first;
}

std::vector<Effect> MemberList::receive(Tenths now, const Datagram& datagram) {
    now_ = std::max(now_, now);
    if (over_ || datagram.from == options_.name) return {};
    ++counts_.heard;
    for (const MemberUpdate& update : datagram.updates) take(update);
    if (datagram.kind == DatagramKind::kPing) {
        send(datagram.address,
             {DatagramKind::kAck, options_.name, options_.address, datagram.serial, options_.name, {}});
    } else if (datagram.kind == DatagramKind::kPingRequest) {
        const auto target = members_.find(datagram.target);
        if (target != members_.end() && favours_.size() < options_.max_members) {
            const std::uint64_t serial = next_serial_++;
            favours_[serial] = {datagram.address, datagram.target, datagram.serial,
                                now_ + options_.probe_interval};
            send(target->second.address,
                 {DatagramKind::kPing, options_.name, options_.address, serial, {}, {}});
        }
    } else if (probe_.serial == datagram.serial && probe_.target == datagram.target &&
               !probe_.target.empty()) {
        probe_ = {};
        ill_ = std::max(0, ill_ - 1);
    } else if (const auto favour = favours_.find(datagram.serial);
               favour != favours_.end() && favour->second.target == datagram.from) {
        send(favour->second.asker, {DatagramKind::kAck,
                                    options_.name,
                                    options_.address,
                                    favour->second.serial,
                                    favour->second.target,
                                    {}});
        favours_.erase(favour);
    }
    return std::exchange(effects_, {});
}

std::vector<Effect> MemberList::step(Tenths now) {
    const Tenths due = next_step();
    now_ = std::max(now_, now);
    if (over_) return {};
    if (now_ > due + kStallGaps * options_.probe_interval) forgive_stall(now_ - due);
    if (!probe_.target.empty() && !probe_.helped && now_ >= probe_.answer_by) {
        probe_.helped = true;
        std::vector<std::string> helpers;
        for (const auto& [name, member] : members_)
            if (member.state == MemberState::kAlive && name != probe_.target) helpers.push_back(name);
        for (int i = 0; i < options_.indirect_probes && !helpers.empty(); ++i) {
            ++counts_.indirect_probes;
            send(members_.at(draw(helpers)).address, {DatagramKind::kPingRequest,
                                                      options_.name,
                                                      options_.address,
                                                      probe_.serial,
                                                      probe_.target,
                                                      {}});
        }
    }
    if (!probe_.target.empty() && now_ >= probe_.ends) {
        const std::string name = std::exchange(probe_, {}).target;
        const auto target = members_.find(name);
        fall_ill(1); // perhaps it is we who do not hear
        if (target != members_.end() && target->second.state == MemberState::kAlive) {
            ++counts_.suspected;
            set(name, target->second, MemberState::kSuspect, target->second.incarnation);
        }
    }
    for (auto& [name, member] : members_)
        if (member.state == MemberState::kSuspect && now_ >= member.fails_at)
            set(name, member, MemberState::kFailed, member.incarnation);
    if (now_ >= probe_at_) probe_next();
    if (now_ >= seek_at_) seek_peers();
    std::erase_if(favours_, [this](auto& held) { return now_ >= held.second.ends; });
    return std::exchange(effects_, {});
}

// One of them by chance, that is not drawn again.
std::string MemberList::draw(std::vector<std::string>& names) {
    const auto pick = names.begin() + static_cast<std::ptrdiff_t>(chance_.unit() * names.size());
    std::string name = std::move(*pick);
    names.erase(pick);
    return name;
}

// A member that goes says so, and is never taken for one that has failed.
std::vector<Effect> MemberList::leave(Tenths now) {
    now_ = std::max(now_, now);
    if (std::exchange(over_, true)) return {};
    std::vector<std::string> told;
    for (const auto& [name, member] : members_)
        if (!gone(member.state)) told.push_back(member.address);
    const MemberUpdate word{options_.name, options_.address, incarnation_, MemberState::kLeft};
    for (double left = options_.dissemination_factor * logarithm(); left > 0 && !told.empty(); --left) {
        ++counts_.sent;
        effects_.push_back(
            SendDatagram{draw(told), {DatagramKind::kAck, options_.name, options_.address, 0, {}, {word}}});
    }
    return std::exchange(effects_, {});
}

// We have slept: what we waited for may have come and gone meanwhile, and every suspect has had less time to
// answer than we thought. We doubt ourselves before we doubt others.
void MemberList::forgive_stall(Tenths late) {
    ++counts_.stalls;
    fall_ill(1);
    probe_ = {};
    favours_.clear();
    for (auto& [name, member] : members_)
        if (member.state == MemberState::kSuspect) member.fails_at += late;
    probe_at_ = std::max(probe_at_, now_), seek_at_ = now_; // what we missed is asked for at once
}

void MemberList::fall_ill(int by) { ill_ = std::min(ill_ + by, kMostIll); }

void MemberList::probe_next() {
    probe_at_ = now_ + options_.probe_interval * (1 + ill_);
    if (!probe_.target.empty()) return; // the one before has not ended
    for (bool fresh = false;;) {
        if (round_.empty()) {
            if (std::exchange(fresh, true)) return; // nobody is there
            for (const auto& [name, member] : members_)
                if (!gone(member.state)) round_.push_back(name);
            for (std::size_t i = round_.size(); i > 1; --i)
                std::swap(round_[i - 1], round_[static_cast<std::size_t>(chance_.unit() * i)]);
            if (round_.empty()) return;
        }
        const std::string name = std::move(round_.back());
        round_.pop_back();
        const auto target = members_.find(name);
        if (target == members_.end() || gone(target->second.state)) continue;
        ++counts_.probes;
        probe_ = {name, next_serial_++, now_ + options_.probe_timeout * (1 + ill_),
                  now_ + options_.probe_interval * (1 + ill_), false};
        return send(target->second.address,
                    {DatagramKind::kPing, options_.name, options_.address, probe_.serial, {}, {}});
    }
}

// One of those who are named in the file or were there once, and are not now: joins us at the start, and
// brings two halves together after a cut in which each took the other for failed.
void MemberList::seek_peers() {
    std::vector<std::string> wanted;
    const auto present_at = [this](const std::string& address) {
        return address == options_.address || std::ranges::any_of(members_, [&](auto& held) {
                   return held.second.address == address && !gone(held.second.state);
               });
    };
    for (const std::string& peer : options_.peers)
        if (!present_at(peer)) wanted.push_back(peer);
    for (const auto& [name, member] : members_)
        if (member.state == MemberState::kFailed && !present_at(member.address))
            wanted.push_back(member.address);
    const bool alone = present_count() == 1;
    const double gaps = (alone ? 1 : kSeekGaps) * (0.5 + chance_.unit());
    seek_at_ = now_ + static_cast<Tenths>(gaps * static_cast<double>(options_.probe_interval));
    if (wanted.empty()) return;
    const std::string& address = wanted[static_cast<std::size_t>(chance_.unit() * wanted.size())];
    send(address, {DatagramKind::kPing, options_.name, options_.address, 0, {}, {}});
}

void MemberList::take(const MemberUpdate& update) {
    if (update.name == options_.name) {
        if (update.address != options_.address && !update.address.empty()) {
            ++counts_.name_conflicts; // to outbid it would go on for ever
            return;
        }
        const bool worse = update.state != MemberState::kAlive && update.incarnation >= incarnation_;
        if (worse || update.incarnation > incarnation_) refute(update.incarnation);
        return;
    }
    auto found = members_.find(update.name);
    if (found == members_.end()) {
        if (members_.size() >= options_.max_members) forget_gone();
        if (members_.size() >= options_.max_members) return void(++counts_.table_full);
        found = members_.emplace(update.name, Member{update.address, 0, MemberState::kFailed, now_, 0}).first;
    }
    Member& member = found->second;
    if (rank(update.incarnation, update.state) <= rank(member.incarnation, member.state)) return;
    if (!update.address.empty()) member.address = update.address;
    set(update.name, member, update.state, update.incarnation);
}

// What is said of us is not so, or is of a life that we have no memory of: we are here, in a later one.
void MemberList::refute(Incarnation above) {
    ++counts_.refuted;
    incarnation_ = above + 1;
    fall_ill(1); // somebody did not hear us in time
    spread(word_on_us());
    std::vector<std::string> told; // at once, as the time to answer is running
    for (const auto& [name, member] : members_)
        if (member.state == MemberState::kAlive) told.push_back(member.address);
    for (int i = 0; i < options_.indirect_probes && !told.empty(); ++i) {
        send(draw(told), {DatagramKind::kAck, options_.name, options_.address, 0, {}, {}});
    }
}

void MemberList::set(const std::string& name, Member& member, MemberState state, Incarnation incarnation) {
    const bool news = member.state != state;
    member.state = state, member.incarnation = incarnation, member.since = now_;
    if (state == MemberState::kSuspect) member.fails_at = now_ + suspicion_span();
    spread({name, member.address, incarnation, state});
    if (news) effects_.push_back(MemberChanged{name, state, incarnation});
}

void MemberList::spread(const MemberUpdate& update) { rumours_[update.name] = {update, 0}; }

// The rumours told least go first. Whoever is doubted hears that before all else, so that it can speak up.
void MemberList::send(const std::string& address, Datagram datagram) {
    datagram.updates.push_back(word_on_us());
    for (const auto& [name, member] : members_)
        if (member.address == address && member.state != MemberState::kAlive)
            datagram.updates.push_back({name, member.address, member.incarnation, member.state});
    std::vector<Told*> fresh;
    for (auto& [name, told] : rumours_) fresh.push_back(&told);
    std::ranges::stable_sort(fresh, {}, &Told::times);
    for (Told* told : fresh) {
        if (datagram.updates.size() >= options_.max_updates) break;
        datagram.updates.push_back(told->update), ++told->times;
    }
    // Rumours reach nearly all, by chance. What room is left goes to the others in turn, so that in the end
    // all do.
    for (std::size_t i = 0; i < members_.size() && datagram.updates.size() < options_.max_updates; ++i) {
        auto in_turn = members_.upper_bound(told_last_);
        if (in_turn == members_.end()) in_turn = members_.begin();
        told_last_ = in_turn->first;
        const Member& member = in_turn->second;
        if (!gone(member.state) && member.address != address)
            datagram.updates.push_back({told_last_, member.address, member.incarnation, member.state});
    }
    const double enough = options_.dissemination_factor * std::ceil(logarithm());
    std::erase_if(rumours_, [enough](auto& held) { return held.second.times >= enough; });
    ++counts_.sent;
    effects_.push_back(SendDatagram{address, std::move(datagram)});
}

// At the bound those go first that have been gone for longest. What is present is never forgotten.
void MemberList::forget_gone() {
    auto oldest = members_.end();
    for (auto held = members_.begin(); held != members_.end(); ++held)
        if (gone(held->second.state) &&
            (oldest == members_.end() || held->second.since < oldest->second.since))
            oldest = held;
    if (oldest != members_.end()) members_.erase(oldest);
}

} // namespace ivyrill::membership
