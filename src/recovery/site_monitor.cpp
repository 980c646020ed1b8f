#include "recovery/site_monitor.hpp"

#include <algorithm>

namespace ivyrill::recovery {

namespace {

std::string of(int part, int all) { return std::to_string(part) + " of " + std::to_string(all); }

} // namespace

// ---- what comes in

void SiteMonitor::update_servers(Tenths now, const std::map<std::string, ListedServer>& servers) {
    for (const auto& [name, seen] : servers) {
        Server& server = servers_[name];
        const bool was_live = server.seen.live && server.listed_since != 0;
        if (seen.live && !was_live) {
            server.listed_since = now;
            if (!std::exchange(server.missing, false)) {
                // One that is new stands for one that was lost: replaced, not gone.
                Server* oldest = nullptr;
                for (auto& [other, activity] : servers_)
                    if (activity.missing && activity.seen.site == seen.site &&
                        (oldest == nullptr || activity.missing_since < oldest->missing_since))
                        oldest = &activity;
                if (oldest != nullptr) oldest->missing = false;
            }
        }
        if (!seen.live && !seen.draining && was_live && !server.seen.draining &&
            !planned_absences_.contains(name))
            server.missing = true, server.missing_since = now;
        if (seen.live && seen.born > server.seen.born) server.listed_since = now, server.unanswered = 0;
        server.seen = seen;
    }
    // A whole list may leave names out: they are gone.
    for (auto& [name, server] : servers_)
        if (!servers.contains(name) && server.seen.live) {
            server.missing = !server.seen.draining && !planned_absences_.contains(name);
            server.seen.live = false, server.missing_since = now;
        }
    std::erase_if(servers_, [&](auto& held) {
        const Server& server = held.second;
        return !server.seen.live && !server.seen.draining &&
               (!server.missing || now > server.missing_since + fraction_of_target(kGoneMemory));
    });
}

void SiteMonitor::add_counts(Tenths now, const TrafficCounts& tally) {
    for (const auto& [name, news] : tally.servers) {
        const auto found = servers_.find(name);
        if (found == servers_.end()) continue;
        Server& server = found->second;
        SiteActivity& site = activity_[server.seen.site];
        if (news.answered > 0) {
            server.answered_at = now, server.unanswered = 0, server.last_counted_launch = 0;
            site.answered_at = now, site.consecutive_unanswered = 0, site.run_began_at = 0,
            site.run_servers.clear();
            site.good += news.answered;
        }
        std::uint32_t unanswered = news.unanswered;
        // An attempt that is out past the silence is one more, once.
        if (news.oldest_outstanding > 0 && now > news.oldest_outstanding + silence_threshold() &&
            server.answered_at < news.oldest_outstanding &&
            server.last_counted_launch != news.oldest_outstanding)
            ++unanswered, server.last_counted_launch = news.oldest_outstanding;
        if (unanswered == 0) continue;
        server.unanswered += unanswered, site.bad += unanswered;
        if (news.answered > 0) continue;
        if (site.consecutive_unanswered == 0) site.run_began_at = now;
        site.consecutive_unanswered += unanswered;
        site.run_servers.insert(name);
    }
}

bool SiteMonitor::is_silent(const std::string& name, Tenths now) const {
    const auto found = servers_.find(name);
    if (found == servers_.end()) return false;
    return found->second.unanswered >= 2 && now >= found->second.answered_at + silence_threshold();
}

SiteState SiteMonitor::state(const SiteName& site) const {
    const auto found = sites_.find(site);
    return found == sites_.end() ? SiteState::kHealthy : found->second.state;
}

// ---- what follows

Tenths SiteMonitor::min_step_duration() const {
    return std::max(fraction_of_target(0.5),
                    static_cast<Tenths>(static_cast<double>(options_.cold_span) * kStepOfCold));
}

Tenths SiteMonitor::return_delay(int relapses) const {
    return fraction_of_target(kWait) << std::min(relapses, kMostRelapses);
}

double SiteMonitor::traffic_share(const SiteName& name, Tenths now) const {
    const auto found = sites_.find(name);
    if (found == sites_.end()) return 1;
    const SiteStatus& view = found->second;
    switch (view.state) {
    case SiteState::kHealthy:
    case SiteState::kDegraded:
        return 1;
    case SiteState::kPartitioned:
    case SiteState::kLost: {
        // Where nothing else would tell that it is back, a few attempts knock now and then.
        const Tenths period = fraction_of_target(kKnock);
        return (now - view.state_since) % period >= period - fraction_of_target(0.25) ? kTrial : 0;
    }
    case SiteState::kRecovering:
        return kTrial;
    case SiteState::kRampingUp:
        return 1.0 / (1 << (kReturnSteps - 1 - std::min(view.ramp_step, kReturnSteps - 1)));
    }
    return 1;
}

void SiteMonitor::count_servers(Tenths now) {
    for (auto& [name, view] : sites_) view.servers = view.answering = view.silent = view.missing = 0;
    for (const auto& [name, server] : servers_) {
        if (planned_absences_.contains(name) || server.seen.draining) continue;
        SiteStatus& view = sites_[server.seen.site];
        ++view.servers;
        if (server.missing)
            ++view.missing;
        else if (is_silent(name, now))
            ++view.silent;
        else if (server.answered_at > 0 && now < server.answered_at + fraction_of_target(1))
            ++view.answering;
    }
}

std::vector<SiteTransition> SiteMonitor::evaluate(Tenths now,
                                                  const std::map<SiteName, PeerObservations>& others) {
    count_servers(now);
    std::vector<SiteTransition> changes;
    for (auto& [name, view] : sites_) {
        if (view.state_since == 0) view.state_since = now;
        const auto said = others.find(name);
        update_state(now, name, view, said == others.end() ? PeerObservations{} : said->second, changes);
    }
    return changes;
}

bool SiteMonitor::shows_activity(const SiteName& name, const SiteStatus& view,
                                 const PeerObservations& others) const {
    const auto activity = activity_.find(name);
    if (activity != activity_.end() && activity->second.answered_at > view.state_since) return true;
    if (others.ramping_up || (others.reached > 0 && others.reached > others.unreached)) return true;
    return std::ranges::any_of(servers_, [&](const auto& held) {
        const Server& server = held.second;
        return server.seen.site == name && server.seen.live && server.listed_since > view.state_since;
    });
}

void SiteMonitor::update_state(Tenths now, const SiteName& name, SiteStatus& view,
                               const PeerObservations& others, std::vector<SiteTransition>& changes) {
    SiteActivity& activity = activity_[name];
    const double servers = std::max(1, view.servers), failing = (view.silent + view.missing) / servers;
    const bool hushed = now >= activity.answered_at + silence_threshold();
    const bool long_run = activity.consecutive_unanswered >= kLostRun &&
                          now >= activity.run_began_at + silence_threshold() / 2 &&
                          activity.run_servers.size() >= std::min<std::size_t>(kRunOver, view.servers);
    const bool by_list = view.missing >= kLostShare * servers && view.servers > 1;
    const bool all_silent = view.servers > 0 && hushed && (long_run || by_list || failing >= 1);
    const std::string counted = of(view.silent, view.servers) + " silent, " + of(view.missing, view.servers) +
                                " gone, " + std::to_string(activity.consecutive_unanswered) +
                                " launches unheard in a row, " + std::to_string(others.reached) +
                                " others reach it, " + std::to_string(others.unreached) + " do not";
    switch (view.state) {
    case SiteState::kHealthy:
    case SiteState::kDegraded: {
        // A moment's silence is none yet: both the run and the silence have to last.
        if (all_silent && view.servers > 0) {
            const SiteState to = others.reached > 0 ? SiteState::kPartitioned : SiteState::kLost;
            return change_state(now, name, view, to, counted, changes);
        }
        const bool doubtful = view.servers > 0 && (failing >= kDoubtShare ||
                                                   (activity.consecutive_unanswered >= kDoubtRun && hushed));
        if (doubtful) {
            activity.sound_since = 0;
            if (view.state == SiteState::kHealthy)
                change_state(now, name, view, SiteState::kDegraded, counted, changes);
            return;
        }
        if (activity.sound_since == 0) activity.sound_since = now;
        if (view.state == SiteState::kDegraded && now >= activity.sound_since + fraction_of_target(kSettle))
            change_state(now, name, view, SiteState::kHealthy, of(view.answering, view.servers) + " answer",
                         changes);
        if (view.relapses > 0 && now >= view.state_since + fraction_of_target(kForgive)) view.relapses = 0;
        return;
    }
    case SiteState::kPartitioned:
    case SiteState::kLost: {
        if (view.servers == 0)
            return change_state(now, name, view, SiteState::kHealthy, "none of it is left", changes);
        // Others that begin to reach it, or cease to, tell the one from the other.
        const bool severed = others.reached > 0;
        if (shows_activity(name, view, others) && activity.answered_at > view.state_since)
            return change_state(now, name, view, SiteState::kRecovering, "it answers", changes);
        if (!severed && shows_activity(name, view, others))
            return change_state(now, name, view, SiteState::kRecovering,
                                others.ramping_up ? "others send there again" : "it is listed anew", changes);
        if (severed != (view.state == SiteState::kPartitioned)) {
            const Tenths state_since = view.state_since;
            change_state(now, name, view, severed ? SiteState::kPartitioned : SiteState::kLost, counted,
                         changes);
            view.state_since = state_since; // it is away as long as before
        }
        return;
    }
    case SiteState::kRecovering:
        if (activity.consecutive_unanswered >= kLostRun && hushed)
            return change_state(now, name, view,
                                others.reached > 0 ? SiteState::kPartitioned : SiteState::kLost,
                                "it fell silent again: " + counted, changes);
        if (now < view.ramp_allowed_at) return;
        if (activity.answered_at >= view.state_since || now >= view.ramp_allowed_at + min_step_duration())
            change_state(now, name, view, SiteState::kRampingUp, "the wait is over", changes);
        return;
    case SiteState::kRampingUp: {
        const std::uint32_t news = activity.good + activity.bad;
        const double bad = news == 0 ? 0 : static_cast<double>(activity.bad) / news;
        if (all_silent) {
            view.relapses = std::min(view.relapses + 1, kMostRelapses);
            return change_state(now, name, view,
                                others.reached > 0 ? SiteState::kPartitioned : SiteState::kLost,
                                "relapse " + std::to_string(view.relapses) + ": " + counted, changes);
        }
        const auto begin_step = [&](int ramp_step) {
            view.ramp_step = std::clamp(ramp_step, 0, kReturnSteps - 1), view.ramp_step_since = now;
            activity.good = activity.bad = 0;
        };
        if (news >= kStepNews && bad > kWorseStep) return begin_step(view.ramp_step - 1);
        const bool long_enough = now >= view.ramp_step_since + min_step_duration();
        const bool shown =
            activity.good >= kStepNews || now >= view.ramp_step_since + 3 * min_step_duration();
        if (!long_enough || !shown || bad > kBadStep || others.unreached > others.reached) return;
        if (view.ramp_step < kReturnSteps - 1) return begin_step(view.ramp_step + 1);
        change_state(now, name, view, SiteState::kHealthy,
                     of(view.answering, view.servers) + " answer, all of its load is back", changes);
        return;
    }
    }
}

void SiteMonitor::change_state(Tenths now, const SiteName& name, SiteStatus& view, SiteState to,
                               std::string why, std::vector<SiteTransition>& changes) {
    SiteActivity& activity = activity_[name];
    changes.push_back({name, view.state, to, why});
    view.state = to, view.state_since = now, view.evidence = std::move(why);
    activity.sound_since = 0, activity.good = activity.bad = 0;
    if (to == SiteState::kRecovering)
        view.ramp_allowed_at = now + return_delay(view.relapses), activity.consecutive_unanswered = 0;
    // One that has failed us before begins lower.
    if (to == SiteState::kRampingUp) view.ramp_step = view.relapses > 0 ? 0 : 1, view.ramp_step_since = now;
}

} // namespace ivyrill::recovery
