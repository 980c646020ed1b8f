#include "recovery/watch.hpp"

#include <algorithm>

namespace ivyrill::recovery {

namespace {

std::string of(int part, int all) { return std::to_string(part) + " of " + std::to_string(all); }

} // namespace

// ---- what comes in

void Watch::list(Tenths now, const std::map<std::string, ServerSeen>& servers) {
    for (const auto& [name, seen] : servers) {
        Server& server = servers_[name];
        const bool was_live = server.seen.live && server.listed_at != 0;
        if (seen.live && !was_live) {
            server.listed_at = now;
            if (!std::exchange(server.known_gone, false)) {
                // One that is new stands for one that was lost: replaced, not gone.
                Server* oldest = nullptr;
                for (auto& [other, kept] : servers_)
                    if (kept.known_gone && kept.seen.site == seen.site &&
                        (oldest == nullptr || kept.gone_at < oldest->gone_at))
                        oldest = &kept;
                if (oldest != nullptr) oldest->known_gone = false;
            }
        }
        if (!seen.live && !seen.draining && was_live && !server.seen.draining && !planned_.contains(name))
            server.known_gone = true, server.gone_at = now;
        if (seen.live && seen.born > server.seen.born) server.listed_at = now, server.unheard = 0;
        server.seen = seen;
    }
    // A whole list may leave names out: they are gone.
    for (auto& [name, server] : servers_)
        if (!servers.contains(name) && server.seen.live) {
            server.known_gone = !server.seen.draining && !planned_.contains(name);
            server.seen.live = false, server.gone_at = now;
        }
    std::erase_if(servers_, [&](auto& held) {
        const Server& server = held.second;
        return !server.seen.live && !server.seen.draining &&
               (!server.known_gone || now > server.gone_at + share_of_due(kGoneMemory));
    });
}

void Watch::heard(Tenths now, const Tally& tally) {
    for (const auto& [name, news] : tally.servers) {
        const auto found = servers_.find(name);
        if (found == servers_.end()) continue;
        Server& server = found->second;
        Site& site = kept_[server.seen.site];
        if (news.answered > 0) {
            server.answered_at = now, server.unheard = 0, server.silent_since = 0;
            site.answered_at = now, site.run = 0, site.run_since = 0, site.run_over.clear();
            site.good += news.answered;
        }
        std::uint32_t unheard = news.unheard;
        // An attempt that is out past the silence is one more, once.
        if (news.oldest_out > 0 && now > news.oldest_out + silence() &&
            server.answered_at < news.oldest_out && server.silent_since != news.oldest_out)
            ++unheard, server.silent_since = news.oldest_out;
        if (unheard == 0) continue;
        server.unheard += unheard, site.bad += unheard;
        if (news.answered > 0) continue;
        if (site.run == 0) site.run_since = now;
        site.run += unheard;
        site.run_over.insert(name);
    }
}

bool Watch::mute(const std::string& name, Tenths now) const {
    const auto found = servers_.find(name);
    if (found == servers_.end()) return false;
    return found->second.unheard >= 2 && now >= found->second.answered_at + silence();
}

SiteState Watch::state(const SiteName& site) const {
    const auto found = sites_.find(site);
    return found == sites_.end() ? SiteState::kSound : found->second.state;
}

// ---- what follows

Tenths Watch::step_span() const {
    return std::max(share_of_due(0.5),
                    static_cast<Tenths>(static_cast<double>(terms_.warm_up_time) * kStepOfCold));
}

Tenths Watch::wait_after(int relapses) const {
    return share_of_due(kWait) << std::min(relapses, kMostRelapses);
}

double Watch::share(const SiteName& name, Tenths now) const {
    const auto found = sites_.find(name);
    if (found == sites_.end()) return 1;
    const SiteView& view = found->second;
    switch (view.state) {
    case SiteState::kSound:
    case SiteState::kDoubted:
        return 1;
    case SiteState::kSevered:
    case SiteState::kLost: {
        // Where nothing else would tell that it is back, a few attempts knock now and then.
        const Tenths period = share_of_due(kKnock);
        return (now - view.since) % period >= period - share_of_due(0.25) ? kTrial : 0;
    }
    case SiteState::kReturning:
        return kTrial;
    case SiteState::kWarming:
        return 1.0 / (1 << (kSteps - 1 - std::min(view.step, kSteps - 1)));
    }
    return 1;
}

void Watch::count(Tenths now) {
    for (auto& [name, view] : sites_) view.servers = view.well = view.mute = view.gone = 0;
    for (const auto& [name, server] : servers_) {
        if (planned_.contains(name) || server.seen.draining) continue;
        SiteView& view = sites_[server.seen.site];
        ++view.servers;
        if (server.known_gone)
            ++view.gone;
        else if (mute(name, now))
            ++view.mute;
        else if (server.answered_at > 0 && now < server.answered_at + share_of_due(1))
            ++view.well;
    }
}

std::vector<SiteChange> Watch::look(Tenths now, const std::map<SiteName, Hearsay>& others) {
    count(now);
    std::vector<SiteChange> changes;
    for (auto& [name, view] : sites_) {
        if (view.since == 0) view.since = now;
        const auto said = others.find(name);
        judge(now, name, view, said == others.end() ? Hearsay{} : said->second, changes);
    }
    return changes;
}

bool Watch::shows_life(const SiteName& name, const SiteView& view, const Hearsay& others) const {
    const auto kept = kept_.find(name);
    if (kept != kept_.end() && kept->second.answered_at > view.since) return true;
    if (others.returning || (others.reach > 0 && others.reach > others.miss)) return true;
    return std::ranges::any_of(servers_, [&](const auto& held) {
        const Server& server = held.second;
        return server.seen.site == name && server.seen.live && server.listed_at > view.since;
    });
}

void Watch::judge(Tenths now, const SiteName& name, SiteView& view, const Hearsay& others,
                  std::vector<SiteChange>& changes) {
    Site& kept = kept_[name];
    const double servers = std::max(1, view.servers), failing = (view.mute + view.gone) / servers;
    const bool hushed = now >= kept.answered_at + silence();
    const bool long_run = kept.run >= kLostRun && now >= kept.run_since + silence() / 2 &&
                          kept.run_over.size() >= std::min<std::size_t>(kRunOver, view.servers);
    const bool by_list = view.gone >= kLostShare * servers && view.servers > 1;
    const bool all_silent = view.servers > 0 && hushed && (long_run || by_list || failing >= 1);
    const std::string counted = of(view.mute, view.servers) + " silent, " + of(view.gone, view.servers) +
                                " gone, " + std::to_string(kept.run) + " launches unheard in a row, " +
                                std::to_string(others.reach) + " others reach it, " +
                                std::to_string(others.miss) + " do not";
    switch (view.state) {
    case SiteState::kSound:
    case SiteState::kDoubted: {
        // A moment's silence is none yet: both the run and the silence have to last.
        if (all_silent && view.servers > 0) {
            const SiteState to = others.reach > 0 ? SiteState::kSevered : SiteState::kLost;
            return enter(now, name, view, to, counted, changes);
        }
        const bool doubtful =
            view.servers > 0 && (failing >= kDoubtShare || (kept.run >= kDoubtRun && hushed));
        if (doubtful) {
            kept.sound_since = 0;
            if (view.state == SiteState::kSound)
                enter(now, name, view, SiteState::kDoubted, counted, changes);
            return;
        }
        if (kept.sound_since == 0) kept.sound_since = now;
        if (view.state == SiteState::kDoubted && now >= kept.sound_since + share_of_due(kSettle))
            enter(now, name, view, SiteState::kSound, of(view.well, view.servers) + " answer", changes);
        if (view.relapses > 0 && now >= view.since + share_of_due(kForgive)) view.relapses = 0;
        return;
    }
    case SiteState::kSevered:
    case SiteState::kLost: {
        if (view.servers == 0)
            return enter(now, name, view, SiteState::kSound, "none of it is left", changes);
        // Others that begin to reach it, or cease to, tell the one from the other.
        const bool severed = others.reach > 0;
        if (shows_life(name, view, others) && kept.answered_at > view.since)
            return enter(now, name, view, SiteState::kReturning, "it answers", changes);
        if (!severed && shows_life(name, view, others))
            return enter(now, name, view, SiteState::kReturning,
                         others.returning ? "others send there again" : "it is listed anew", changes);
        if (severed != (view.state == SiteState::kSevered)) {
            const Tenths since = view.since;
            enter(now, name, view, severed ? SiteState::kSevered : SiteState::kLost, counted, changes);
            view.since = since; // it is away as long as before
        }
        return;
    }
    case SiteState::kReturning:
        if (kept.run >= kLostRun && hushed)
            return enter(now, name, view, others.reach > 0 ? SiteState::kSevered : SiteState::kLost,
                         "it fell silent again: " + counted, changes);
        if (now < view.may_return) return;
        if (kept.answered_at >= view.since || now >= view.may_return + step_span())
            enter(now, name, view, SiteState::kWarming, "the wait is over", changes);
        return;
    case SiteState::kWarming: {
        const std::uint32_t news = kept.good + kept.bad;
        const double bad = news == 0 ? 0 : static_cast<double>(kept.bad) / news;
        if (all_silent) {
            view.relapses = std::min(view.relapses + 1, kMostRelapses);
            return enter(now, name, view, others.reach > 0 ? SiteState::kSevered : SiteState::kLost,
                         "relapse " + std::to_string(view.relapses) + ": " + counted, changes);
        }
        const auto begin_step = [&](int step) {
            view.step = std::clamp(step, 0, kSteps - 1), view.step_since = now;
            kept.good = kept.bad = 0;
        };
        if (news >= kStepNews && bad > kWorseStep) return begin_step(view.step - 1);
        const bool long_enough = now >= view.step_since + step_span();
        const bool shown = kept.good >= kStepNews || now >= view.step_since + 3 * step_span();
        if (!long_enough || !shown || bad > kBadStep || others.miss > others.reach) return;
        if (view.step < kSteps - 1) return begin_step(view.step + 1);
        enter(now, name, view, SiteState::kSound,
              of(view.well, view.servers) + " answer, all of its load is back", changes);
        return;
    }
    }
}

void Watch::enter(Tenths now, const SiteName& name, SiteView& view, SiteState to, std::string why,
                  std::vector<SiteChange>& changes) {
    Site& kept = kept_[name];
    changes.push_back({name, view.state, to, why});
    view.state = to, view.since = now, view.evidence = std::move(why);
    kept.sound_since = 0, kept.good = kept.bad = 0;
    if (to == SiteState::kReturning) view.may_return = now + wait_after(view.relapses), kept.run = 0;
    // One that has failed us before begins lower.
    if (to == SiteState::kWarming) view.step = view.relapses > 0 ? 0 : 1, view.step_since = now;
}

} // namespace ivyrill::recovery
