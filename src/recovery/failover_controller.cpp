#include "recovery/failover_controller.hpp"

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
    std::string result;
    for (const auto& name : names) {
        if (!result.empty()) result += ",";
        if constexpr (std::is_convertible_v<decltype(name), std::string>)
            result += name;
        else
            result += std::to_string(name);
    }
    return result;
}

SiteMonitorOptions monitor_options(const FailoverOptions& options) {
    return {options.home_site, options.latency_target, options.cold_span};
}

PeerReportsOptions peer_report_options(const FailoverOptions& options) {
    return {options.name, options.home_site, options.report_interval, options.configured_nodes};
}

std::int32_t number_in(const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::ranges::find(names, name);
    return found == names.end() ? -1 : static_cast<std::int32_t>(found - names.begin());
}

} // namespace

bool nearly_equal(const ReliefTold& a, const ReliefTold& b, double step) {
    if (a.gone != b.gone || a.sites.size() != b.sites.size() || a.rows.size() != b.rows.size() ||
        std::abs(a.further - b.further) >= step || a.come_back != b.come_back ||
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

FailoverController::FailoverController(FailoverOptions options, Tenths now)
    : options_(std::move(options)), now_(now), chance_(options_.seed ^ 0x51e5ULL),
      monitor_(monitor_options(options_)), peer_reports_(peer_report_options(options_)),
      capacity_({options_.configured_capacity, options_.latency_target}), next_check_(now),
      // Front nodes that start together do not tell together.
      next_report_(now + static_cast<Tenths>(chance_.unit() * static_cast<double>(options_.report_interval))),
      last_check_(now) {}

void FailoverController::log_line(std::string what, std::vector<std::pair<std::string, std::string>> fields,
                                  bool loud) {
    fields.emplace_back("at_ms", std::to_string(wall_ * 1000 / kTenthsPerSecond));
    effects_.emplace_back(SiteLogLine{loud, std::move(what), std::move(fields)});
}

// ---- what comes in

void FailoverController::update_servers(Tenths now, const std::map<std::string, ListedServer>& servers) {
    now_ = std::max(now_, now);
    servers_ = servers;
    monitor_.update_servers(now_, servers);
}

void FailoverController::add_counts(Tenths now, const TrafficCounts& tally) {
    now_ = std::max(now_, now);
    monitor_.add_counts(now_, tally);
    since_check_.add(tally), since_line_.add(tally);
    for (const auto& [name, news] : tally.servers) {
        const auto server = servers_.find(name);
        if (server == servers_.end()) continue;
        auto& [answered, unheard] = site_activity_[server->second.site];
        if (news.answered > 0) answered = now_;
        if (news.unanswered > 0) unheard = now_;
    }
}

void FailoverController::receive_report(Tenths now, std::string_view bytes) {
    now_ = std::max(now_, now);
    auto report = decode_site_report(bytes);
    if (!report) return void(++counts_.malformed);
    ++counts_.reports_received;
    for (const SiteOverride& site_override : report->overrides) this->apply_override(site_override);
    peer_reports_.receive_report(now_, std::move(*report));
}

void FailoverController::set_peers(Tenths now, const std::set<std::string>& others) {
    now_ = std::max(now_, now);
    peers_ = others;
    peer_reports_.set_peers(now_, others);
}

void FailoverController::set_planned_absences(const std::set<std::string>& servers) {
    monitor_.set_planned_absences(servers);
}

std::string FailoverController::apply_override(const SiteOverride& site_override) {
    const bool known =
        monitor_.sites().contains(site_override.site) ||
        std::ranges::any_of(servers_, [&](auto& held) { return held.second.site == site_override.site; });
    if (!known) return "no such site: " + site_override.site;
    if (!peer_reports_.apply_override(wall_, site_override)) return "it is over, or a later order stands";
    log_line("site_order", {{"site", site_override.site},
                            {"kind", name_of(site_override.kind)},
                            {"by", site_override.by},
                            {"why", site_override.why}});
    next_check_ = next_report_ = now_; // at once, here and elsewhere
    return {};
}

// ---- time passes

void FailoverController::step(Tenths now, Tenths wall) {
    now_ = std::max(now_, now), wall_ = wall;
    if (now_ >= next_check_) {
        next_check_ =
            now_ + std::max<Tenths>(
                       1, static_cast<Tenths>(kCheckInterval * static_cast<double>(options_.latency_target)));
        update_estimates();
        for (const SiteTransition& change : monitor_.evaluate(now_, peer_reports_.observations(now_))) {
            ++counts_.transitions;
            log_line("site",
                     {{"name", change.site},
                      {"from", name_of(change.from)},
                      {"to", name_of(change.to)},
                      {"evidence", change.evidence}},
                     change.to == SiteState::kLost);
            next_report_ =
                std::min(next_report_, now_ + options_.report_interval / 8); // the others hear of it soon
        }
        refresh_plan();
    }
    if (now_ >= next_report_) send_reports();
}

void FailoverController::update_estimates() {
    const double passed = static_cast<double>(now_ - last_check_) / static_cast<double>(kTenthsPerSecond);
    if (passed <= 0) return;
    last_check_ = now_;
    // The mean reaches back so many looks whatever the time between them.
    const double weight = kRateWeight;
    double answered = 0, power = 0;
    for (const auto& [name, tally] : since_check_.servers) answered += tally.good;
    mix(own_answer_rate_, answered / passed, weight);
    for (auto& [key, row] : own_demand_.rows)
        if (!since_check_.classes.contains(key)) mix(row.searches, 0, weight);
    for (const auto& [key, tally] : since_check_.classes) {
        Demand::Row& row = own_demand_.rows[key];
        mix(row.searches, tally.asked / passed, weight);
        if (tally.asked > 0) {
            const double parts = static_cast<double>(tally.parts) / tally.asked;
            row.parts = row.parts <= 1 && parts > 0 ? parts : row.parts + weight * (parts - row.parts);
        }
    }
    for (auto& [shard, rate] : own_shard_rates_)
        if (!since_check_.shards.contains(shard)) mix(rate, 0, kShardRateWeight);
    for (const auto& [shard, count] : since_check_.shards)
        mix(own_shard_rates_[shard], static_cast<double>(count) / passed, kShardRateWeight);
    own_demand_.shards.clear();
    double all = 0;
    for (const auto& [shard, rate] : own_shard_rates_) all += rate;
    for (const auto& [shard, rate] : own_shard_rates_) own_demand_.shards[shard] = all > 0 ? rate / all : 0;
    for (const auto& [name, server] : servers_)
        if (server.live && !server.draining && !is_unavailable(monitor_.state(server.site)) &&
            !monitor_.is_silent(name, now_))
            power += server.power;
    capacity_.add_rate(now_, power, peer_reports_.answer_rate(now_, own_answer_rate_));
    for (const auto& [name, tally] : since_check_.servers)
        if (const auto server = servers_.find(name);
            server != servers_.end() && available_share(name, server->second) >= 1)
            capacity_.add_reports(tally, server->second.power);
    std::uint64_t in_time = 0, missed = 0;
    for (const auto& [key, tally] : since_check_.classes) {
        // What the plan refuses is no miss; what is refused beside it is one.
        const auto admission = plan_.shedding.admissions.find(key);
        const bool planned = active_ && admission != plan_.shedding.admissions.end();
        const double refused = planned ? 1 - admission->second.admitted_share : 0;
        const auto expected = static_cast<std::uint32_t>(std::ceil(refused * tally.asked));
        const std::uint32_t beside = tally.rejected - std::min(tally.rejected, expected);
        in_time += tally.in_time;
        missed += tally.delivered - std::min(tally.delivered, tally.in_time) + tally.failed + beside;
    }
    capacity_.add_results(now_, in_time, missed, !active_);
    since_check_ = {};
}

// A few others, drawn anew each time: what one hears so is a fair sample of all.
void FailoverController::send_reports() {
    next_report_ = now_ + static_cast<Tenths>(static_cast<double>(options_.report_interval) *
                                              (0.75 + 0.5 * chance_.unit()));
    SiteReport report;
    report.from = options_.name, report.home_site = options_.home_site;
    report_serial_ = std::max(report_serial_ + 1, static_cast<std::uint64_t>(wall_));
    report.serial = report_serial_;
    for (const auto& [site, view] : monitor_.sites()) {
        const auto news = site_activity_.find(site);
        const Tenths answered = news == site_activity_.end() ? 0 : news->second.first;
        const Tenths unheard = news == site_activity_.end() ? 0 : news->second.second;
        report.rows.push_back({site, view.state, answered > 0 && now_ <= answered + options_.report_interval,
                               unheard > 0 && now_ <= unheard + options_.report_interval, site_share(site)});
    }
    report.demand = own_demand_, report.answer_rate = own_answer_rate_,
    report.overrides = peer_reports_.overrides(wall_);
    std::vector<std::string> names(peers_.begin(), peers_.end());
    const std::string bytes = encode_site_report(report);
    for (int i = 0; i < options_.report_fanout && !names.empty(); ++i) {
        const auto at = static_cast<std::size_t>(chance_.unit() * static_cast<double>(names.size()));
        effects_.emplace_back(OutgoingReport{names[at], bytes});
        names[at] = names.back(), names.pop_back();
        ++counts_.reports_sent;
    }
}

// ---- the plan

// An operator's word goes before what is seen.
double FailoverController::site_share(const SiteName& site) const {
    if (const SiteOverride* site_override = peer_reports_.override_for(site, wall_)) {
        if (site_override->kind == SiteOverride::Kind::kLost) return 0;
        if (monitor_.state(site) != SiteState::kHealthy && monitor_.state(site) != SiteState::kDegraded)
            return 0;
    }
    return monitor_.traffic_share(site, now_);
}

std::set<SiteName> FailoverController::unavailable_sites() const {
    std::set<SiteName> result;
    for (const auto& [site, view] : monitor_.sites()) {
        const SiteOverride* site_override = peer_reports_.override_for(site, wall_);
        const bool excluded_by_override =
            site_override != nullptr &&
            (site_override->kind == SiteOverride::Kind::kLost || view.state == SiteState::kRampingUp);
        if (is_unavailable(view.state) || excluded_by_override) result.insert(site);
    }
    return result;
}

SiteName FailoverController::lost_site() const {
    const std::set<SiteName> sites = unavailable_sites();
    return sites.empty() ? SiteName{} : *sites.begin();
}

double FailoverController::available_share(const std::string& name, const ListedServer& server) const {
    // One that is silent to us may have been asked twice in all: it counts for half.
    double result = server.draining ? 0 : monitor_.is_silent(name, now_) ? kSilentServerShare : 1;
    const SiteState state = monitor_.state(server.site);
    // Born by wall time, as lists tell it.
    if (server.born > 0 && wall_ < server.born + options_.cold_span && options_.cold_span > 0) {
        const double age =
            std::max(0.0, static_cast<double>(wall_ - server.born) / static_cast<double>(options_.cold_span));
        result *= options_.cold_share + (1 - options_.cold_share) * age;
    }
    if (state == SiteState::kRampingUp)
        result = std::min(result, site_share(server.site)); // of its load, not of that
    return result;
}

PlanInput FailoverController::plan_input() const {
    PlanInput result;
    result.servers = servers_;
    result.unit_capacity = capacity_.unit_capacity();
    for (const auto& [name, server] : servers_) result.available_share[name] = available_share(name, server);
    result.request_classes = options_.request_class_info, result.quotas = options_.quotas;
    result.demand = peer_reports_.demand(now_, own_demand_);
    // What few searches have shown of the shards is mixed with an even share for each.
    const double even = 1.0 / options_.shards, shown = result.demand.parts() * kShardSampleSeconds;
    const double prior = kShardPriorParts * options_.shards;
    for (int shard = 0; shard < options_.shards; ++shard) {
        const auto seen = result.demand.shards.try_emplace(shard, 0).first;
        seen->second = (seen->second * shown + even * prior) / (shown + prior);
    }
    result.origins = peer_reports_.origins(now_);
    result.costs = options_.costs, result.links = options_.links, result.headroom = options_.headroom;
    return result;
}

ReliefTold FailoverController::policy_for(const Plan& plan) const {
    ReliefTold told;
    for (const auto& [site, view] : monitor_.sites()) {
        const double share = site_share(site);
        const std::int32_t zone = number_in(options_.zones, site);
        if (zone >= 0 && share < 1) told.sites.push_back({ZoneNo{zone}, share});
    }
    for (const int shard : plan.lost_shards) told.gone.push_back(ShardNo{shard});
    bool full = true;
    for (const auto& [key, admission] : plan.shedding.admissions) {
        const std::int32_t request_class = number_in(options_.request_classes, key.first);
        if (request_class < 0) continue;
        const std::int32_t tenant = number_in(options_.tenants, key.second);
        const double admitted = admission.impossible ? 0 : admission.admitted_share;
        // What merely lacks a shard that is gone is not trimmed besides.
        if (admitted >= 1 - kMinChange && admission.answer_weight >= 1 - kMinChange) continue;
        full = full && admitted >= 1 - kMinChange;
        told.rows.push_back({RequestClassNo{request_class}, TenantNo{tenant},
                             admitted >= 1 - kMinChange ? 1 : admitted, admission.answer_weight});
    }
    for (const auto& [shard, served] : plan.assignment.served_share)
        if (served < 1 - kMinChange) told.tight.emplace_back(ShardNo{shard}, served);
    const double fullest = plan.assignment.max_utilization;
    told.further =
        !full ? 0 : std::clamp(1 - (fullest - kBudgetCutUtilization) / (1 - kBudgetCutUtilization), 0.0, 1.0);
    told.come_back = full ? 0 : options_.longest_retry_after;
    return told;
}

void FailoverController::refresh_plan() {
    const bool all_sound = std::ranges::all_of(monitor_.sites(), [&](const auto& held) {
        const SiteState state = held.second.state;
        return (state == SiteState::kHealthy || state == SiteState::kDegraded) && site_share(held.first) >= 1;
    });
    if (all_sound) {
        if (!active_) return;
        active_ = false, policy_ = {};
        ++counts_.policy_updates;
        log_line("relief", {{"over", "all sites take part again"}});
        effects_.emplace_back(policy_);
        return;
    }
    if (!active_) capacity_.reset_correction();
    // What changes by and by is planned anew now and then, another set of sites at once.
    std::map<SiteName, double> shares;
    for (const auto& [site, view] : monitor_.sites()) shares[site] = site_share(site);
    if (!active_ || shares != planned_shares_ || now_ >= next_plan_) {
        next_plan_ =
            now_ + static_cast<Tenths>(kReplanInterval * static_cast<double>(options_.latency_target) *
                                       (0.75 + 0.5 * chance_.unit()));
        planned_shares_ = std::move(shares);
        plan_ = plan_without(plan_input(), unavailable_sites());
        ++counts_.plans;
    }
    ReliefTold told = policy_for(plan_);
    if (!active_ || !nearly_equal(told, policy_, kMinChange)) {
        active_ = true, policy_ = std::move(told);
        ++counts_.policy_updates;
        effects_.emplace_back(policy_);
    }
    if (now_ < next_load_line_) return;
    next_load_line_ =
        now_ + static_cast<Tenths>(kLoadLineInterval * static_cast<double>(options_.latency_target));
    std::uint64_t asked = 0, delivered = 0, refused = 0;
    for (const auto& [key, tally] : since_line_.classes)
        asked += tally.asked, delivered += tally.delivered, refused += tally.rejected;
    std::string refusals;
    for (const auto& [key, admission] : plan_.shedding.admissions)
        if (admission.admitted_share < 0.995 || admission.answer_weight < 0.995)
            refusals += (refusals.empty() ? "" : " ") + key.first + "/" + key.second + ":" +
                        percent(admission.admitted_share) +
                        (admission.answer_weight < 0.995 ? "@" + percent(admission.answer_weight) : "");
    log_line("site_load", {{"without", list_of(plan_.without)},
                           {"demand", number(plan_.demand)},
                           {"room", number(plan_.capacity)},
                           {"fullest", percent(plan_.assignment.max_utilization)},
                           {"gone", list_of(plan_.lost_shards)},
                           {"let_in", refusals},
                           {"asked", std::to_string(asked)},
                           {"delivered", std::to_string(delivered)},
                           {"pushed_back", std::to_string(refused)},
                           {"trust", number(capacity_.correction())}});
    since_line_ = {};
}

// ---- operators

Json FailoverController::answer_query(const Json& query) {
    const std::string verb = query.value("verb", "show");
    Json result{{"node", options_.name},
                {"home", options_.home_site},
                {"front_nodes", peer_reports_.node_count()},
                {"heard", peer_reports_.fresh_reports(now_)},
                {"relief", active_}};
    if (verb == "plan") {
        const PlanInput input = plan_input();
        result["capacity_of_one"] = capacity_.unit_capacity(), result["demand"] = input.demand.parts();
        std::vector<Plan> plans;
        if (query.contains("without")) {
            std::set<SiteName> without;
            for (const auto& site : query["without"]) without.insert(site.get<std::string>());
            plans.push_back(plan_without(input, without));
        } else {
            plans = plan_each_loss(input);
        }
        result["plans"] = Json::array();
        for (const Plan& plan : plans) {
            Json row{{"without", plan.without},  {"room", plan.capacity},
                     {"demand", plan.demand},    {"fullest", plan.assignment.max_utilization},
                     {"gone", plan.lost_shards}, {"survives", plan.utility_share}};
            row["let_in"] = Json::array();
            for (const auto& [key, admission] : plan.shedding.admissions)
                row["let_in"].push_back(
                    {key.first, key.second, admission.admitted_share, admission.answer_weight});
            std::map<SiteName, double> to;
            for (const auto& server : servers_)
                if (const auto load = plan.assignment.load.find(server.first);
                    load != plan.assignment.load.end())
                    to[server.second.site] += load->second;
            row["load"] = to;
            result["plans"].push_back(std::move(row));
        }
        return result;
    }
    result["sites"] = Json::array();
    const std::string only = query.value("site", "");
    for (const auto& [site, view] : monitor_.sites()) {
        if (!only.empty() && site != only) continue;
        Json row{{"site", site},
                 {"state", name_of(view.state)},
                 {"for_ms", (now_ - view.state_since) * 1000 / kTenthsPerSecond},
                 {"servers", view.servers},
                 {"well", view.answering},
                 {"silent", view.silent},
                 {"gone", view.missing},
                 {"share", site_share(site)},
                 {"relapses", view.relapses},
                 {"evidence", view.evidence}};
        if (const SiteOverride* site_override = peer_reports_.override_for(site, wall_))
            row["order"] = {{"kind", name_of(site_override->kind)},
                            {"by", site_override->by},
                            {"why", site_override->why},
                            {"left_ms", (site_override->until - wall_) * 1000 / kTenthsPerSecond}};
        Json others = Json::object();
        for (const auto& [name, other] : peer_reports_.latest())
            for (const auto& seen : other.report.rows)
                if (seen.site == site) others[name] = name_of(seen.state);
        row["others"] = std::move(others);
        result["sites"].push_back(std::move(row));
    }
    if (verb == "explain" && result["sites"].empty()) result["error"] = "no such site: " + only;
    return result;
}

} // namespace ivyrill::recovery
