#include "membership/member_list.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace ivyrill::membership {

namespace {

constexpr int kMaxHealthScore = 8; // Lifeguard's bound: timeouts grow to 1 + this many times their base
constexpr int kContactIntervals =
    10; // probe intervals between pings to absent members, so that a partition heals
constexpr int kStallIntervals = 1; // probe intervals by which a late step counts as a stall of this process

bool is_absent(MemberState state) { return state == MemberState::kFailed || state == MemberState::kLeft; }

// Of two updates about a member the higher incarnation wins, and within an incarnation the worse state: only
// the member itself can refute it, with a new incarnation.
std::pair<Incarnation, int> rank(Incarnation incarnation, MemberState state) {
    return {incarnation, static_cast<int>(state)};
}

} // namespace

MemberList::MemberList(MemberListOptions options, Ticks now)
    : options_(std::move(options)), rng_(options_.seed), now_(now), incarnation_(options_.incarnation) {
    // A random offset, so that members that start together don't probe at the same time.
    next_probe_at_ = now + static_cast<Ticks>(rng_.unit() * static_cast<double>(options_.probe_interval));
    next_contact_at_ = now;
}

std::size_t MemberList::present_count() const {
    return 1 + static_cast<std::size_t>(std::ranges::count_if(
                   members_, [](auto& entry) { return !is_absent(entry.second.state); }));
}

MemberState MemberList::state_of(const std::string& name) const {
    if (name == options_.name) return left_ ? MemberState::kLeft : MemberState::kAlive;
    const auto found = members_.find(name);
    return found == members_.end() ? MemberState::kFailed : found->second.state;
}

std::vector<MemberList::MemberInfo> MemberList::members() const {
    std::vector<MemberInfo> result;
    for (const auto& [name, member] : members_)
        result.push_back({name, member.address, member.state, member.since});
    return result;
}

const std::string* MemberList::address_of(const std::string& name) const {
    const auto found = members_.find(name);
    return found == members_.end() ? nullptr : &found->second.address;
}

double MemberList::log_size() const {
    return std::max(1.0, std::log10(static_cast<double>(present_count())));
}

Ticks MemberList::suspicion_timeout() const {
    return static_cast<Ticks>(options_.suspicion_factor * log_size() *
                              static_cast<double>(options_.probe_interval)) *
           (1 + health_score_);
}

Ticks MemberList::next_step() const {
    Ticks first = std::min(next_probe_at_, next_contact_at_);
    if (!probe_.target.empty())
        first = std::min(first, probe_.indirect_sent ? probe_.expires_at : probe_.indirect_at);
    for (const auto& [name, member] : members_)
        if (member.state == MemberState::kSuspect) first = std::min(first, member.suspicion_ends_at);
    return first;
}

std::vector<Effect> MemberList::receive(Ticks now, const Datagram& datagram) {
    now_ = std::max(now_, now);
    if (left_ || datagram.from == options_.name) return {};
    ++counts_.received;
    for (const MemberUpdate& update : datagram.updates) apply_update(update);
    if (datagram.kind == DatagramKind::kPing) {
        send(datagram.address,
             {DatagramKind::kAck, options_.name, options_.address, datagram.serial, options_.name, {}});
    } else if (datagram.kind == DatagramKind::kPingRequest) {
        const auto target = members_.find(datagram.target);
        if (target != members_.end() && relayed_probes_.size() < options_.max_members) {
            const std::uint64_t serial = next_serial_++;
            relayed_probes_[serial] = {datagram.address, datagram.target, datagram.serial,
                                       now_ + options_.probe_interval};
            send(target->second.address,
                 {DatagramKind::kPing, options_.name, options_.address, serial, {}, {}});
        }
    } else if (probe_.serial == datagram.serial && probe_.target == datagram.target &&
               !probe_.target.empty()) {
        probe_ = {};
        health_score_ = std::max(0, health_score_ - 1);
    } else if (const auto relayed_probe = relayed_probes_.find(datagram.serial);
               relayed_probe != relayed_probes_.end() && relayed_probe->second.target == datagram.from) {
        send(relayed_probe->second.requester, {DatagramKind::kAck,
                                               options_.name,
                                               options_.address,
                                               relayed_probe->second.serial,
                                               relayed_probe->second.target,
                                               {}});
        relayed_probes_.erase(relayed_probe);
    }
    return std::exchange(effects_, {});
}

std::vector<Effect> MemberList::step(Ticks now) {
    const Ticks due_at = next_step();
    now_ = std::max(now_, now);
    if (left_) return {};
    if (now_ > due_at + kStallIntervals * options_.probe_interval) recover_from_stall(now_ - due_at);
    if (!probe_.target.empty() && !probe_.indirect_sent && now_ >= probe_.indirect_at) {
        probe_.indirect_sent = true;
        std::vector<std::string> helpers;
        for (const auto& [name, member] : members_)
            if (member.state == MemberState::kAlive && name != probe_.target) helpers.push_back(name);
        for (int i = 0; i < options_.indirect_probes && !helpers.empty(); ++i) {
            ++counts_.indirect_probes;
            send(members_.at(take_random(helpers)).address, {DatagramKind::kPingRequest,
                                                             options_.name,
                                                             options_.address,
                                                             probe_.serial,
                                                             probe_.target,
                                                             {}});
        }
    }
    if (!probe_.target.empty() && now_ >= probe_.expires_at) {
        const std::string name = std::exchange(probe_, {}).target;
        const auto target = members_.find(name);
        raise_health_score(1); // the fault may be this member's
        if (target != members_.end() && target->second.state == MemberState::kAlive) {
            ++counts_.suspected;
            set_state(name, target->second, MemberState::kSuspect, target->second.incarnation);
        }
    }
    for (auto& [name, member] : members_)
        if (member.state == MemberState::kSuspect && now_ >= member.suspicion_ends_at)
            set_state(name, member, MemberState::kFailed, member.incarnation);
    if (now_ >= next_probe_at_) start_probe();
    if (now_ >= next_contact_at_) contact_absent_member();
    std::erase_if(relayed_probes_, [this](auto& entry) { return now_ >= entry.second.expires_at; });
    return std::exchange(effects_, {});
}

// Removes and returns a random name.
std::string MemberList::take_random(std::vector<std::string>& names) {
    const auto pick = names.begin() + static_cast<std::ptrdiff_t>(rng_.unit() * names.size());
    std::string name = std::move(*pick);
    names.erase(pick);
    return name;
}

// Announces the departure, so that this member is not declared failed.
std::vector<Effect> MemberList::leave(Ticks now) {
    now_ = std::max(now_, now);
    if (std::exchange(left_, true)) return {};
    std::vector<std::string> targets;
    for (const auto& [name, member] : members_)
        if (!is_absent(member.state)) targets.push_back(member.address);
    const MemberUpdate update{options_.name, options_.address, incarnation_, MemberState::kLeft};
    for (double remaining = options_.dissemination_factor * log_size(); remaining > 0 && !targets.empty();
         --remaining) {
        ++counts_.sent;
        effects_.push_back(SendDatagram{
            take_random(targets), {DatagramKind::kAck, options_.name, options_.address, 0, {}, {update}}});
    }
    return std::exchange(effects_, {});
}

// After a stall of this process, acknowledgements may have been missed and suspects had less time to refute
// than their timeout says: cancels the current probes and extends the timeouts, rather than suspecting
// others.
void MemberList::recover_from_stall(Ticks delay) {
    ++counts_.stalls;
    raise_health_score(1);
    probe_ = {};
    relayed_probes_.clear();
    for (auto& [name, member] : members_)
        if (member.state == MemberState::kSuspect) member.suspicion_ends_at += delay;
    next_probe_at_ = std::max(next_probe_at_, now_),
    next_contact_at_ = now_; // fetches missed updates at once
}

void MemberList::raise_health_score(int by) { health_score_ = std::min(health_score_ + by, kMaxHealthScore); }

void MemberList::start_probe() {
    next_probe_at_ = now_ + options_.probe_interval * (1 + health_score_);
    if (!probe_.target.empty()) return; // the previous probe is still running
    for (bool refilled = false;;) {
        if (probe_order_.empty()) {
            if (std::exchange(refilled, true)) return; // no other member is present
            for (const auto& [name, member] : members_)
                if (!is_absent(member.state)) probe_order_.push_back(name);
            for (std::size_t i = probe_order_.size(); i > 1; --i)
                std::swap(probe_order_[i - 1], probe_order_[static_cast<std::size_t>(rng_.unit() * i)]);
            if (probe_order_.empty()) return;
        }
        const std::string name = std::move(probe_order_.back());
        probe_order_.pop_back();
        const auto target = members_.find(name);
        if (target == members_.end() || is_absent(target->second.state)) continue;
        ++counts_.probes;
        probe_ = {name, next_serial_++, now_ + options_.probe_timeout * (1 + health_score_),
                  now_ + options_.probe_interval * (1 + health_score_), false};
        return send(target->second.address,
                    {DatagramKind::kPing, options_.name, options_.address, probe_.serial, {}, {}});
    }
}

// Pings a random absent member: a configured peer or a failed member. This joins the group at the start and
// reunites the two sides of a partition that declared each other failed.
void MemberList::contact_absent_member() {
    std::vector<std::string> absent;
    const auto present_at = [this](const std::string& address) {
        return address == options_.address || std::ranges::any_of(members_, [&](auto& entry) {
                   return entry.second.address == address && !is_absent(entry.second.state);
               });
    };
    for (const std::string& peer : options_.peers)
        if (!present_at(peer)) absent.push_back(peer);
    for (const auto& [name, member] : members_)
        if (member.state == MemberState::kFailed && !present_at(member.address))
            absent.push_back(member.address);
    const bool alone = present_count() == 1;
    const double intervals = (alone ? 1 : kContactIntervals) * (0.5 + rng_.unit());
    next_contact_at_ = now_ + static_cast<Ticks>(intervals * static_cast<double>(options_.probe_interval));
    if (absent.empty()) return;
    const std::string& address = absent[static_cast<std::size_t>(rng_.unit() * absent.size())];
    send(address, {DatagramKind::kPing, options_.name, options_.address, 0, {}, {}});
}

void MemberList::apply_update(const MemberUpdate& update) {
    if (update.name == options_.name) {
        if (update.address != options_.address && !update.address.empty()) {
            ++counts_.name_conflicts; // refuting it would go on without end
            return;
        }
        const bool declared_absent =
            update.state != MemberState::kAlive && update.incarnation >= incarnation_;
        if (declared_absent || update.incarnation > incarnation_) refute(update.incarnation);
        return;
    }
    auto found = members_.find(update.name);
    if (found == members_.end()) {
        if (members_.size() >= options_.max_members) evict_absent_member();
        if (members_.size() >= options_.max_members) return void(++counts_.table_full);
        found = members_.emplace(update.name, Member{update.address, 0, MemberState::kFailed, now_, 0}).first;
    }
    Member& member = found->second;
    if (rank(update.incarnation, update.state) <= rank(member.incarnation, member.state)) return;
    if (!update.address.empty()) member.address = update.address;
    set_state(update.name, member, update.state, update.incarnation);
}

// An update calls this member absent or names a higher incarnation than its own: announces a higher one.
void MemberList::refute(Incarnation above) {
    ++counts_.refuted;
    incarnation_ = above + 1;
    raise_health_score(1); // some member did not get an acknowledgement in time
    queue_update(own_update());
    std::vector<std::string> targets; // at once, because the suspicion timeout is running
    for (const auto& [name, member] : members_)
        if (member.state == MemberState::kAlive) targets.push_back(member.address);
    for (int i = 0; i < options_.indirect_probes && !targets.empty(); ++i) {
        send(take_random(targets), {DatagramKind::kAck, options_.name, options_.address, 0, {}, {}});
    }
}

void MemberList::set_state(const std::string& name, Member& member, MemberState state,
                           Incarnation incarnation) {
    const bool changed = member.state != state;
    member.state = state, member.incarnation = incarnation, member.since = now_;
    if (state == MemberState::kSuspect) member.suspicion_ends_at = now_ + suspicion_timeout();
    queue_update({name, member.address, incarnation, state});
    if (changed) effects_.push_back(MemberChanged{name, state, incarnation});
}

void MemberList::queue_update(const MemberUpdate& update) { queued_updates_[update.name] = {update, 0}; }

// Piggybacks updates, those sent least often first. A member that is suspected gets this update before all
// others, so that it can refute it.
void MemberList::send(const std::string& address, Datagram datagram) {
    datagram.updates.push_back(own_update());
    for (const auto& [name, member] : members_)
        if (member.address == address && member.state != MemberState::kAlive)
            datagram.updates.push_back({name, member.address, member.incarnation, member.state});
    std::vector<QueuedUpdate*> candidates;
    for (auto& [name, queued] : queued_updates_) candidates.push_back(&queued);
    std::ranges::stable_sort(candidates, {}, &QueuedUpdate::sends);
    for (QueuedUpdate* queued : candidates) {
        if (datagram.updates.size() >= options_.max_updates) break;
        datagram.updates.push_back(queued->update), ++queued->sends;
    }
    // Dissemination by random probes reaches nearly all members. The remaining space is filled with the other
    // members in turn, so that eventually every update reaches all.
    for (std::size_t i = 0; i < members_.size() && datagram.updates.size() < options_.max_updates; ++i) {
        auto in_turn = members_.upper_bound(last_in_turn_);
        if (in_turn == members_.end()) in_turn = members_.begin();
        last_in_turn_ = in_turn->first;
        const Member& member = in_turn->second;
        if (!is_absent(member.state) && member.address != address)
            datagram.updates.push_back({last_in_turn_, member.address, member.incarnation, member.state});
    }
    const double max_sends = options_.dissemination_factor * std::ceil(log_size());
    std::erase_if(queued_updates_, [max_sends](auto& entry) { return entry.second.sends >= max_sends; });
    ++counts_.sent;
    effects_.push_back(SendDatagram{address, std::move(datagram)});
}

// Evicts the member that has been absent for longest. Present members are never evicted.
void MemberList::evict_absent_member() {
    auto oldest = members_.end();
    for (auto entry = members_.begin(); entry != members_.end(); ++entry)
        if (is_absent(entry->second.state) &&
            (oldest == members_.end() || entry->second.since < oldest->second.since))
            oldest = entry;
    if (oldest != members_.end()) members_.erase(oldest);
}

} // namespace ivyrill::membership
