#include "recovery/pilot.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace ivyrill::recovery {

namespace {

using Json = nlohmann::json;

void mix(double& mean, double fresh, double weight) { mean += weight * (fresh - mean); }

std::string percent(double share) {
    char text[16];
    std::snprintf(text, sizeof text, "%.0f%%", 100 * share);
    return text;
}

std::string number(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", value);
    return text;
}

std::string list_of(const auto& names) {
    std::string made;
    for (const auto& name : names) {
        if (!made.empty()) made += ",";
        if constexpr (std::is_convertible_v<decltype(name), std::string>)
            made += name;
        else
            made += std::to_string(name);
    }
    return made;
}

WatchTerms watch_terms(const PilotTerms& terms) { return {terms.home, terms.due, terms.warm_up_time}; }

ChorusTerms chorus_terms(const PilotTerms& terms) {
    return {terms.name, terms.home, terms.gap, terms.stated_nodes};
}

std::int32_t number_in(const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::ranges::find(names, name);
    return found == names.end() ? -1 : static_cast<std::int32_t>(found - names.begin());
}

} // namespace

bool alike(const SiteRecoveryPlan& a, const SiteRecoveryPlan& b, double step) {
    if (a.gone != b.gone || a.sites.size() != b.sites.size() || a.rows.size() != b.rows.size() ||
        std::abs(a.further - b.further) >= step || a.retry_after != b.retry_after ||
        a.tight.size() != b.tight.size())
        return false;
    for (std::size_t i = 0; i < a.sites.size(); ++i)
        if (a.sites[i].zone != b.sites[i].zone || a.sites[i].share != b.sites[i].share) return false;
    for (std::size_t i = 0; i < a.rows.size(); ++i)
        if (a.rows[i].request_class != b.rows[i].request_class || a.rows[i].tenant != b.rows[i].tenant ||
            std::abs(a.rows[i].admitted - b.rows[i].admitted) >= step ||
            std::abs(a.rows[i].weight - b.rows[i].weight) >= step)
            return false;
    return true;
}

Pilot::Pilot(PilotTerms terms, Tenths now)
    : terms_(std::move(terms)), now_(now), chance_(terms_.seed ^ 0x51e5ULL), watch_(watch_terms(terms_)),
      chorus_(chorus_terms(terms_)), capacity_({terms_.stated_capacity, terms_.due}), look_at_(now),
      // Front nodes that start together do not tell together.
      word_at_(now + static_cast<Tenths>(chance_.unit() * static_cast<double>(terms_.gap))), looked_at_(now) {
}

void Pilot::say(std::string what, std::vector<std::pair<std::string, std::string>> fields, bool loud) {
    fields.emplace_back("at_ms", std::to_string(wall_ * 1000 / kTenthsPerSecond));
    effects_.emplace_back(SiteLine{loud, std::move(what), std::move(fields)});
}

// ---- what comes in

void Pilot::list(Tenths now, const std::map<std::string, ServerSeen>& servers) {
    now_ = std::max(now_, now);
    servers_ = servers;
    watch_.list(now_, servers);
}

void Pilot::counted(Tenths now, const Tally& tally) {
    now_ = std::max(now_, now);
    watch_.heard(now_, tally);
    since_look_.add(tally), since_line_.add(tally);
    for (const auto& [name, news] : tally.servers) {
        const auto server = servers_.find(name);
        if (server == servers_.end()) continue;
        auto& [answered, unheard] = site_news_[server->second.site];
        if (news.answered > 0) answered = now_;
        if (news.unheard > 0) unheard = now_;
    }
}

void Pilot::hear(Tenths now, std::string_view bytes) {
    now_ = std::max(now_, now);
    auto word = decode_word(bytes);
    if (!word) return void(++counts_.spoilt);
    ++counts_.words_in;
    for (const OperatorOrder& order : word->orders) this->order(order);
    chorus_.hear(now_, std::move(*word));
}

void Pilot::present(Tenths now, const std::set<std::string>& others) {
    now_ = std::max(now_, now);
    others_ = others;
    chorus_.present(now_, others);
}

void Pilot::away_by_plan(const std::set<std::string>& servers) { watch_.away_by_plan(servers); }

std::string Pilot::order(const OperatorOrder& order) {
    const bool known = watch_.sites().contains(order.site) || std::ranges::any_of(servers_, [&](auto& held) {
                           return held.second.site == order.site;
                       });
    if (!known) return "no such site: " + order.site;
    if (!chorus_.order(wall_, order)) return "it is over, or a later order stands";
    say("site_order",
        {{"site", order.site}, {"kind", word_of(order.kind)}, {"by", order.by}, {"why", order.why}});
    look_at_ = word_at_ = now_; // at once, here and elsewhere
    return {};
}

// ---- time passes

void Pilot::step(Tenths now, Tenths wall) {
    now_ = std::max(now_, now), wall_ = wall;
    if (now_ >= look_at_) {
        look_at_ =
            now_ + std::max<Tenths>(1, static_cast<Tenths>(kLookGap * static_cast<double>(terms_.due)));
        learn();
        for (const SiteChange& change : watch_.look(now_, chorus_.hearsay(now_))) {
            ++counts_.changes;
            say("site",
                {{"name", change.site},
                 {"from", word_of(change.from)},
                 {"to", word_of(change.to)},
                 {"evidence", change.evidence}},
                change.to == SiteState::kLost);
            word_at_ = std::min(word_at_, now_ + terms_.gap / 8); // the others hear of it soon
        }
        plan();
    }
    if (now_ >= word_at_) tell();
}

void Pilot::learn() {
    const double passed = static_cast<double>(now_ - looked_at_) / static_cast<double>(kTenthsPerSecond);
    if (passed <= 0) return;
    looked_at_ = now_;
    // The mean reaches back so many looks whatever the time between them.
    const double weight = kRateWeight;
    double answered = 0, power = 0;
    for (const auto& [name, tally] : since_look_.servers) answered += tally.good;
    mix(own_rate_, answered / passed, weight);
    for (auto& [key, row] : own_.rows)
        if (!since_look_.classes.contains(key)) mix(row.searches, 0, weight);
    for (const auto& [key, tally] : since_look_.classes) {
        Demand::Row& row = own_.rows[key];
        mix(row.searches, tally.asked / passed, weight);
        if (tally.asked > 0) {
            const double parts = static_cast<double>(tally.parts) / tally.asked;
            row.parts = row.parts <= 1 && parts > 0 ? parts : row.parts + weight * (parts - row.parts);
        }
    }
    for (auto& [shard, rate] : own_shards_)
        if (!since_look_.shards.contains(shard)) mix(rate, 0, kShardWeight);
    for (const auto& [shard, count] : since_look_.shards)
        mix(own_shards_[shard], static_cast<double>(count) / passed, kShardWeight);
    own_.shards.clear();
    double all = 0;
    for (const auto& [shard, rate] : own_shards_) all += rate;
    for (const auto& [shard, rate] : own_shards_) own_.shards[shard] = all > 0 ? rate / all : 0;
    for (const auto& [name, server] : servers_)
        if (server.live && !server.draining && !is_away(watch_.state(server.site)) &&
            !watch_.mute(name, now_))
            power += server.power;
    capacity_.learn(now_, power, chorus_.rate(now_, own_rate_));
    for (const auto& [name, tally] : since_look_.servers)
        if (const auto server = servers_.find(name);
            server != servers_.end() && presence(name, server->second) >= 1)
            capacity_.reported(tally, server->second.power);
    std::uint64_t in_time = 0, missed = 0;
    for (const auto& [key, tally] : since_look_.classes) {
        // What the plan refuses is no miss; what is refused beside it is one.
        const auto verdict = plan_.triage.verdicts.find(key);
        const bool planned = relieved_ && verdict != plan_.triage.verdicts.end();
        const double refused = planned ? 1 - verdict->second.admitted : 0;
        const auto expected = static_cast<std::uint32_t>(std::ceil(refused * tally.asked));
        const std::uint32_t beside = tally.rejected - std::min(tally.rejected, expected);
        in_time += tally.in_time;
        missed += tally.delivered - std::min(tally.delivered, tally.in_time) + tally.failed + beside;
    }
    capacity_.judged(now_, in_time, missed, !relieved_);
    since_look_ = {};
}

// A few others, drawn anew each time: what one hears so is a fair sample of all.
void Pilot::tell() {
    word_at_ = now_ + static_cast<Tenths>(static_cast<double>(terms_.gap) * (0.75 + 0.5 * chance_.unit()));
    SiteWord word;
    word.from = terms_.name, word.home = terms_.home;
    serial_ = std::max(serial_ + 1, static_cast<std::uint64_t>(wall_));
    word.serial = serial_;
    for (const auto& [site, view] : watch_.sites()) {
        const auto news = site_news_.find(site);
        const Tenths answered = news == site_news_.end() ? 0 : news->second.first;
        const Tenths unheard = news == site_news_.end() ? 0 : news->second.second;
        word.rows.push_back({site, view.state, answered > 0 && now_ <= answered + terms_.gap,
                             unheard > 0 && now_ <= unheard + terms_.gap, share_now(site)});
    }
    word.demand = own_, word.rate = own_rate_, word.orders = chorus_.orders(wall_);
    std::vector<std::string> names(others_.begin(), others_.end());
    const std::string bytes = encode(word);
    for (int i = 0; i < terms_.told && !names.empty(); ++i) {
        const auto at = static_cast<std::size_t>(chance_.unit() * static_cast<double>(names.size()));
        effects_.emplace_back(WordOut{names[at], bytes});
        names[at] = names.back(), names.pop_back();
        ++counts_.words_out;
    }
}

// ---- the plan

// An operator's word goes before what is seen.
double Pilot::share_now(const SiteName& site) const {
    if (const OperatorOrder* order = chorus_.order_for(site, wall_)) {
        if (order->kind == OperatorOrder::Kind::kLost) return 0;
        if (watch_.state(site) != SiteState::kSound && watch_.state(site) != SiteState::kDoubted) return 0;
    }
    return watch_.share(site, now_);
}

std::set<SiteName> Pilot::away() const {
    std::set<SiteName> made;
    for (const auto& [site, view] : watch_.sites()) {
        const OperatorOrder* order = chorus_.order_for(site, wall_);
        const bool barred = order != nullptr &&
                            (order->kind == OperatorOrder::Kind::kLost || view.state == SiteState::kWarming);
        if (is_away(view.state) || barred) made.insert(site);
    }
    return made;
}

SiteName Pilot::lost_site() const {
    const std::set<SiteName> sites = away();
    return sites.empty() ? SiteName{} : *sites.begin();
}

double Pilot::presence(const std::string& name, const ServerSeen& server) const {
    // One that is silent to us may have been asked twice in all: it counts for half.
    double made = server.draining ? 0 : watch_.mute(name, now_) ? kMutePower : 1;
    const SiteState state = watch_.state(server.site);
    // Born by wall time, as lists tell it.
    if (server.born > 0 && wall_ < server.born + terms_.warm_up_time && terms_.warm_up_time > 0) {
        const double age = std::max(0.0, static_cast<double>(wall_ - server.born) /
                                             static_cast<double>(terms_.warm_up_time));
        made *= terms_.cold_capacity_ratio + (1 - terms_.cold_capacity_ratio) * age;
    }
    if (state == SiteState::kWarming)
        made = std::min(made, share_now(server.site)); // of its load, not of that
    return made;
}

PlanTerms Pilot::plan_terms() const {
    PlanTerms made;
    made.servers = servers_;
    made.of_one = capacity_.of_one();
    for (const auto& [name, server] : servers_) made.presence[name] = presence(name, server);
    made.request_classes = terms_.facts, made.quotas = terms_.quotas;
    made.demand = chorus_.demand(now_, own_);
    // What few searches have shown of the shards is mixed with an even share for each.
    const double even = 1.0 / terms_.shards, shown = made.demand.parts() * kShardSeconds;
    const double prior = kShardPrior * terms_.shards;
    for (int shard = 0; shard < terms_.shards; ++shard) {
        const auto seen = made.demand.shards.try_emplace(shard, 0).first;
        seen->second = (seen->second * shown + even * prior) / (shown + prior);
    }
    made.origins = chorus_.origins(now_);
    made.costs = terms_.costs, made.links = terms_.links, made.headroom = terms_.headroom;
    return made;
}

SiteRecoveryPlan Pilot::relief_of(const Plan& plan) const {
    SiteRecoveryPlan told;
    for (const auto& [site, view] : watch_.sites()) {
        const double share = share_now(site);
        const std::int32_t zone = number_in(terms_.zones, site);
        if (zone >= 0 && share < 1) told.sites.push_back({ZoneNo{zone}, share});
    }
    for (const int shard : plan.gone) told.gone.push_back(ShardNo{shard});
    bool full = true;
    for (const auto& [key, verdict] : plan.triage.verdicts) {
        const std::int32_t request_class = number_in(terms_.request_classes, key.first);
        if (request_class < 0) continue;
        const std::int32_t tenant = number_in(terms_.tenants, key.second);
        const double admitted = verdict.impossible ? 0 : verdict.admitted;
        // What merely lacks a shard that is gone is not trimmed besides.
        if (admitted >= 1 - kAdmitStep && verdict.weight >= 1 - kAdmitStep) continue;
        full = full && admitted >= 1 - kAdmitStep;
        told.rows.push_back({RequestClassNo{request_class}, TenantNo{tenant},
                             admitted >= 1 - kAdmitStep ? 1 : admitted, verdict.weight});
    }
    for (const auto& [shard, served] : plan.division.served)
        if (served < 1 - kAdmitStep) told.tight.emplace_back(ShardNo{shard}, served);
    const double fullest = plan.division.fullest;
    told.further = !full ? 0 : std::clamp(1 - (fullest - kCutFrom) / (1 - kCutFrom), 0.0, 1.0);
    told.retry_after = full ? 0 : terms_.max_retry_after;
    return told;
}

void Pilot::plan() {
    const bool all_sound = std::ranges::all_of(watch_.sites(), [&](const auto& held) {
        const SiteState state = held.second.state;
        return (state == SiteState::kSound || state == SiteState::kDoubted) && share_now(held.first) >= 1;
    });
    if (all_sound) {
        if (!relieved_) return;
        relieved_ = false, relief_ = {};
        ++counts_.reliefs;
        say("relief", {{"over", "all sites take part again"}});
        effects_.emplace_back(relief_);
        return;
    }
    if (!relieved_) capacity_.begin();
    // What changes by and by is planned anew now and then, another set of sites at once.
    std::map<SiteName, double> shares;
    for (const auto& [site, view] : watch_.sites()) shares[site] = share_now(site);
    if (!relieved_ || shares != planned_for_ || now_ >= plan_at_) {
        plan_at_ = now_ + static_cast<Tenths>(kPlanGap * static_cast<double>(terms_.due) *
                                              (0.75 + 0.5 * chance_.unit()));
        planned_for_ = std::move(shares);
        plan_ = plan_without(plan_terms(), away());
        ++counts_.plans;
    }
    SiteRecoveryPlan told = relief_of(plan_);
    if (!relieved_ || !alike(told, relief_, kAdmitStep)) {
        relieved_ = true, relief_ = std::move(told);
        ++counts_.reliefs;
        effects_.emplace_back(relief_);
    }
    if (now_ < load_at_) return;
    load_at_ = now_ + static_cast<Tenths>(kLoadLines * static_cast<double>(terms_.due));
    std::uint64_t asked = 0, delivered = 0, refused = 0;
    for (const auto& [key, tally] : since_line_.classes)
        asked += tally.asked, delivered += tally.delivered, refused += tally.rejected;
    std::string refusals;
    for (const auto& [key, verdict] : plan_.triage.verdicts)
        if (verdict.admitted < 0.995 || verdict.weight < 0.995)
            refusals += (refusals.empty() ? "" : " ") + key.first + "/" + key.second + ":" +
                        percent(verdict.admitted) +
                        (verdict.weight < 0.995 ? "@" + percent(verdict.weight) : "");
    say("site_load", {{"without", list_of(plan_.without)},
                      {"demand", number(plan_.demand)},
                      {"room", number(plan_.room)},
                      {"fullest", percent(plan_.division.fullest)},
                      {"gone", list_of(plan_.gone)},
                      {"let_in", refusals},
                      {"asked", std::to_string(asked)},
                      {"delivered", std::to_string(delivered)},
                      {"pushed_back", std::to_string(refused)},
                      {"trust", number(capacity_.trust())}});
    since_line_ = {};
}

// ---- operators

Json Pilot::answer(const Json& ask) {
    const std::string verb = ask.value("verb", "show");
    Json made{{"node", terms_.name},
              {"home", terms_.home},
              {"front_nodes", chorus_.nodes()},
              {"heard", chorus_.heard(now_)},
              {"relief", relieved_}};
    if (verb == "plan") {
        const PlanTerms terms = plan_terms();
        made["capacity_of_one"] = capacity_.of_one(), made["demand"] = terms.demand.parts();
        std::vector<Plan> plans;
        if (ask.contains("without")) {
            std::set<SiteName> without;
            for (const auto& site : ask["without"]) without.insert(site.get<std::string>());
            plans.push_back(plan_without(terms, without));
        } else {
            plans = plan_ahead(terms);
        }
        made["plans"] = Json::array();
        for (const Plan& plan : plans) {
            Json row{{"without", plan.without},          {"room", plan.room}, {"demand", plan.demand},
                     {"fullest", plan.division.fullest}, {"gone", plan.gone}, {"survives", plan.survives}};
            row["let_in"] = Json::array();
            for (const auto& [key, verdict] : plan.triage.verdicts)
                row["let_in"].push_back({key.first, key.second, verdict.admitted, verdict.weight});
            std::map<SiteName, double> to;
            for (const auto& server : servers_)
                if (const auto load = plan.division.load.find(server.first); load != plan.division.load.end())
                    to[server.second.site] += load->second;
            row["load"] = to;
            made["plans"].push_back(std::move(row));
        }
        return made;
    }
    made["sites"] = Json::array();
    const std::string only = ask.value("site", "");
    for (const auto& [site, view] : watch_.sites()) {
        if (!only.empty() && site != only) continue;
        Json row{{"site", site},
                 {"state", word_of(view.state)},
                 {"for_ms", (now_ - view.since) * 1000 / kTenthsPerSecond},
                 {"servers", view.servers},
                 {"well", view.well},
                 {"silent", view.mute},
                 {"gone", view.gone},
                 {"share", share_now(site)},
                 {"relapses", view.relapses},
                 {"evidence", view.evidence}};
        if (const OperatorOrder* order = chorus_.order_for(site, wall_))
            row["order"] = {{"kind", word_of(order->kind)},
                            {"by", order->by},
                            {"why", order->why},
                            {"left_ms", (order->until - wall_) * 1000 / kTenthsPerSecond}};
        Json others = Json::object();
        for (const auto& [name, other] : chorus_.others())
            for (const auto& seen : other.word.rows)
                if (seen.site == site) others[name] = word_of(seen.state);
        row["others"] = std::move(others);
        made["sites"].push_back(std::move(row));
    }
    if (verb == "explain" && made["sites"].empty()) made["error"] = "no such site: " + only;
    return made;
}

} // namespace ivyrill::recovery
