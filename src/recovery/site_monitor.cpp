#include "recovery/site_monitor.hpp"

#include <algorithm>

namespace ivyrill::recovery {

namespace {

std::string ratio(int part, int all) { return std::to_string(part) + " of " + std::to_string(all); }

} // namespace

// ---- inputs

void SiteMonitor::update_servers(Ticks now, const std::map<std::string, ListedServer>& servers) {
    for (const auto& [name, listed] : servers) {
        Server& server = servers_[name];
        const bool was_live = server.listed.live && server.listed_since != 0;
        if (listed.live && !was_live) {
            server.listed_since = now;
            if (!std::exchange(server.missing, false)) {
                // A new server replaces the one that has been missing for longest.
                Server* oldest = nullptr;
                for (auto& [other_name, other] : servers_)
                    if (other.missing && other.listed.site == listed.site &&
                        (oldest == nullptr || other.missing_since < oldest->missing_since))
                        oldest = &other;
                if (oldest != nullptr) oldest->missing = false;
            }
        }
        if (!listed.live && !listed.draining && was_live && !server.listed.draining &&
            !planned_absences_.contains(name))
            server.missing = true, server.missing_since = now;
        if (listed.live && listed.started > server.listed.started)
            server.listed_since = now, server.unanswered = 0;
        server.listed = listed;
    }
    // Servers that a complete list no longer names.
    for (auto& [name, server] : servers_)
        if (!servers.contains(name) && server.listed.live) {
            server.missing = !server.listed.draining && !planned_absences_.contains(name);
            server.listed.live = false, server.missing_since = now;
        }
    std::erase_if(servers_, [&](auto& entry) {
        const Server& server = entry.second;
        return !server.listed.live && !server.listed.draining &&
               (!server.missing || now > server.missing_since + fraction_of_target(kMissingServerMemory));
    });
}

void SiteMonitor::add_counts(Ticks now, const TrafficCounts& traffic) {
    for (const auto& [name, counts] : traffic.servers) {
        const auto found = servers_.find(name);
        if (found == servers_.end()) continue;
        Server& server = found->second;
        SiteActivity& site = activity_[server.listed.site];
        if (counts.answered > 0) {
            server.answered_at = now, server.unanswered = 0, server.last_counted_launch = 0;
            site.answered_at = now, site.consecutive_unanswered = 0, site.run_began_at = 0,
            site.run_servers.clear();
            site.good += counts.answered;
        }
        std::uint32_t unanswered = counts.unanswered;
        // The oldest outstanding attempt counts as unanswered, once, after the silence threshold.
        if (counts.oldest_outstanding > 0 && now > counts.oldest_outstanding + silence_threshold() &&
            server.answered_at < counts.oldest_outstanding &&
            server.last_counted_launch != counts.oldest_outstanding)
            ++unanswered, server.last_counted_launch = counts.oldest_outstanding;
        if (unanswered == 0) continue;
        server.unanswered += unanswered, site.bad += unanswered;
        if (counts.answered > 0) continue;
        if (site.consecutive_unanswered == 0) site.run_began_at = now;
        site.consecutive_unanswered += unanswered;
        site.run_servers.insert(name);
    }
}

bool SiteMonitor::is_silent(const std::string& name, Ticks now) const {
    const auto found = servers_.find(name);
    if (found == servers_.end()) return false;
    return found->second.unanswered >= 2 && now >= found->second.answered_at + silence_threshold();
}

SiteState SiteMonitor::state(const SiteName& site) const {
    const auto found = sites_.find(site);
    return found == sites_.end() ? SiteState::kHealthy : found->second.state;
}

// ---- states

Ticks SiteMonitor::min_step_duration() const {
    return std::max(fraction_of_target(0.5),
                    static_cast<Ticks>(static_cast<double>(options_.warm_up_time) * kStepShareOfColdSpan));
}

Ticks SiteMonitor::return_delay(int relapses) const {
    return fraction_of_target(kReturnDelay) << std::min(relapses, kMaxRelapses);
}

double SiteMonitor::traffic_share(const SiteName& name, Ticks now) const {
    const auto found = sites_.find(name);
    if (found == sites_.end()) return 1;
    const SiteStatus& status = found->second;
    switch (status.state) {
    case SiteState::kHealthy:
    case SiteState::kDegraded:
        return 1;
    case SiteState::kPartitioned:
    case SiteState::kLost: {
        // Periodic trial attempts, as a recovery might not be noticed otherwise.
        const Ticks period = fraction_of_target(kTrialInterval);
        return (now - status.state_since) % period >= period - fraction_of_target(0.25) ? kTrialShare : 0;
    }
    case SiteState::kRecovering:
        return kTrialShare;
    case SiteState::kRampingUp:
        return 1.0 / (1 << (kReturnSteps - 1 - std::min(status.ramp_step, kReturnSteps - 1)));
    }
    return 1;
}

void SiteMonitor::count_servers(Ticks now) {
    for (auto& [name, status] : sites_)
        status.servers = status.answering = status.silent = status.missing = 0;
    for (const auto& [name, server] : servers_) {
        if (planned_absences_.contains(name) || server.listed.draining) continue;
        SiteStatus& status = sites_[server.listed.site];
        ++status.servers;
        if (server.missing)
            ++status.missing;
        else if (is_silent(name, now))
            ++status.silent;
        else if (server.answered_at > 0 && now < server.answered_at + fraction_of_target(1))
            ++status.answering;
    }
}

std::vector<SiteTransition> SiteMonitor::evaluate(Ticks now,
                                                  const std::map<SiteName, PeerObservations>& peers) {
    count_servers(now);
    std::vector<SiteTransition> transitions;
    for (auto& [name, status] : sites_) {
        if (status.state_since == 0) status.state_since = now;
        const auto reported = peers.find(name);
        update_state(now, name, status, reported == peers.end() ? PeerObservations{} : reported->second,
                     transitions);
    }
    return transitions;
}

bool SiteMonitor::shows_activity(const SiteName& name, const SiteStatus& status,
                                 const PeerObservations& peers) const {
    const auto activity = activity_.find(name);
    if (activity != activity_.end() && activity->second.answered_at > status.state_since) return true;
    if (peers.ramping_up || (peers.reached > 0 && peers.reached > peers.unreached)) return true;
    return std::ranges::any_of(servers_, [&](const auto& entry) {
        const Server& server = entry.second;
        return server.listed.site == name && server.listed.live && server.listed_since > status.state_since;
    });
}

void SiteMonitor::update_state(Ticks now, const SiteName& name, SiteStatus& status,
                               const PeerObservations& peers, std::vector<SiteTransition>& transitions) {
    SiteActivity& activity = activity_[name];
    const double servers = std::max(1, status.servers), failing = (status.silent + status.missing) / servers;
    const bool no_recent_answer = now >= activity.answered_at + silence_threshold();
    const bool long_run = activity.consecutive_unanswered >= kLostRun &&
                          now >= activity.run_began_at + silence_threshold() / 2 &&
                          activity.run_servers.size() >= std::min<std::size_t>(kRunServers, status.servers);
    const bool by_list = status.missing >= kLostShare * servers && status.servers > 1;
    const bool all_silent = status.servers > 0 && no_recent_answer && (long_run || by_list || failing >= 1);
    const std::string evidence =
        ratio(status.silent, status.servers) + " silent, " + ratio(status.missing, status.servers) +
        " missing, " + std::to_string(activity.consecutive_unanswered) +
        " consecutive attempts unanswered, reached by " + std::to_string(peers.reached) +
        " other front nodes, not reached by " + std::to_string(peers.unreached);
    switch (status.state) {
    case SiteState::kHealthy:
    case SiteState::kDegraded: {
        // Both the run of unanswered attempts and the silence must have lasted, so a short pause is not
        // enough.
        if (all_silent && status.servers > 0) {
            const SiteState to = peers.reached > 0 ? SiteState::kPartitioned : SiteState::kLost;
            return change_state(now, name, status, to, evidence, transitions);
        }
        const bool degraded =
            status.servers > 0 && (failing >= kDegradedShare ||
                                   (activity.consecutive_unanswered >= kDegradedRun && no_recent_answer));
        if (degraded) {
            activity.healthy_since = 0;
            if (status.state == SiteState::kHealthy)
                change_state(now, name, status, SiteState::kDegraded, evidence, transitions);
            return;
        }
        if (activity.healthy_since == 0) activity.healthy_since = now;
        if (status.state == SiteState::kDegraded &&
            now >= activity.healthy_since + fraction_of_target(kDegradedSettleTime))
            change_state(now, name, status, SiteState::kHealthy,
                         ratio(status.answering, status.servers) + " answer", transitions);
        if (status.relapses > 0 && now >= status.state_since + fraction_of_target(kRelapseMemory))
            status.relapses = 0;
        return;
    }
    case SiteState::kPartitioned:
    case SiteState::kLost: {
        if (status.servers == 0)
            return change_state(now, name, status, SiteState::kHealthy, "the site has no servers left",
                                transitions);
        // Whether other front nodes reach the site distinguishes the two states.
        const bool reached_by_peers = peers.reached > 0;
        if (shows_activity(name, status, peers) && activity.answered_at > status.state_since)
            return change_state(now, name, status, SiteState::kRecovering, "the site answers", transitions);
        if (!reached_by_peers && shows_activity(name, status, peers))
            return change_state(now, name, status, SiteState::kRecovering,
                                peers.ramping_up ? "other front nodes send to it again"
                                                 : "its servers are listed again",
                                transitions);
        if (reached_by_peers != (status.state == SiteState::kPartitioned)) {
            const Ticks state_since = status.state_since;
            change_state(now, name, status, reached_by_peers ? SiteState::kPartitioned : SiteState::kLost,
                         evidence, transitions);
            status.state_since = state_since; // unavailable since the same time
        }
        return;
    }
    case SiteState::kRecovering:
        if (activity.consecutive_unanswered >= kLostRun && no_recent_answer)
            return change_state(now, name, status,
                                peers.reached > 0 ? SiteState::kPartitioned : SiteState::kLost,
                                "silent again: " + evidence, transitions);
        if (now < status.ramp_allowed_at) return;
        if (activity.answered_at >= status.state_since || now >= status.ramp_allowed_at + min_step_duration())
            change_state(now, name, status, SiteState::kRampingUp, "the return delay has passed",
                         transitions);
        return;
    case SiteState::kRampingUp: {
        const std::uint32_t counts = activity.good + activity.bad;
        const double bad = counts == 0 ? 0 : static_cast<double>(activity.bad) / counts;
        if (all_silent) {
            status.relapses = std::min(status.relapses + 1, kMaxRelapses);
            return change_state(now, name, status,
                                peers.reached > 0 ? SiteState::kPartitioned : SiteState::kLost,
                                "relapse " + std::to_string(status.relapses) + ": " + evidence, transitions);
        }
        const auto begin_step = [&](int ramp_step) {
            status.ramp_step = std::clamp(ramp_step, 0, kReturnSteps - 1), status.ramp_step_since = now;
            activity.good = activity.bad = 0;
        };
        if (counts >= kStepSamples && bad > kStepBackShare) return begin_step(status.ramp_step - 1);
        const bool step_elapsed = now >= status.ramp_step_since + min_step_duration();
        const bool enough_answers =
            activity.good >= kStepSamples || now >= status.ramp_step_since + 3 * min_step_duration();
        if (!step_elapsed || !enough_answers || bad > kHoldStepShare || peers.unreached > peers.reached)
            return;
        if (status.ramp_step < kReturnSteps - 1) return begin_step(status.ramp_step + 1);
        change_state(now, name, status, SiteState::kHealthy,
                     ratio(status.answering, status.servers) + " answer, full traffic share restored",
                     transitions);
        return;
    }
    }
}

void SiteMonitor::change_state(Ticks now, const SiteName& name, SiteStatus& status, SiteState to,
                               std::string evidence, std::vector<SiteTransition>& transitions) {
    SiteActivity& activity = activity_[name];
    transitions.push_back({name, status.state, to, evidence});
    status.state = to, status.state_since = now, status.evidence = std::move(evidence);
    activity.healthy_since = 0, activity.good = activity.bad = 0;
    if (to == SiteState::kRecovering)
        status.ramp_allowed_at = now + return_delay(status.relapses), activity.consecutive_unanswered = 0;
    // A site with relapses starts at the lowest share.
    if (to == SiteState::kRampingUp)
        status.ramp_step = status.relapses > 0 ? 0 : 1, status.ramp_step_since = now;
}

} // namespace ivyrill::recovery
