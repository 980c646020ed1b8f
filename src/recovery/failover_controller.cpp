#include "recovery/failover_controller.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace ivyrill::recovery {

namespace {

using Json = nlohmann::json;

void update_mean(double& mean, double sample, double weight) { mean += weight * (sample - mean); }

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
    return {options.home_site, options.latency_target, options.warm_up_time};
}

PeerReportsOptions peer_report_options(const FailoverOptions& options) {
    return {options.name, options.home_site, options.report_interval, options.configured_nodes};
}

std::int32_t index_of(const std::vector<std::string>& names, const std::string& name) {
    const auto found = std::ranges::find(names, name);
    return found == names.end() ? -1 : static_cast<std::int32_t>(found - names.begin());
}

} // namespace

bool nearly_equal(const FailoverPolicyUpdate& a, const FailoverPolicyUpdate& b, double step) {
    if (a.lost_shards != b.lost_shards || a.sites.size() != b.sites.size() ||
        a.rows.size() != b.rows.size() || std::abs(a.retry_budget_share - b.retry_budget_share) >= step ||
        a.retry_after != b.retry_after || a.capacity_shares.size() != b.capacity_shares.size())
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

FailoverController::FailoverController(FailoverOptions options, Ticks now)
    : options_(std::move(options)), now_(now), rng_(options_.seed ^ 0x51e5ULL),
      monitor_(monitor_options(options_)), peer_reports_(peer_report_options(options_)),
      capacity_({options_.configured_capacity, options_.latency_target}), next_check_(now),
      // A random offset, so that front nodes that start together don't send together.
      next_report_(now + static_cast<Ticks>(rng_.unit() * static_cast<double>(options_.report_interval))),
      last_check_(now) {}

void FailoverController::log_line(std::string event, std::vector<std::pair<std::string, std::string>> fields,
                                  bool is_error) {
    fields.emplace_back("at_ms", std::to_string(wall_ * 1000 / kTicksPerSecond));
    effects_.emplace_back(SiteLogLine{is_error, std::move(event), std::move(fields)});
}

// ---- inputs

void FailoverController::update_servers(Ticks now, const std::map<std::string, ListedServer>& servers) {
    now_ = std::max(now_, now);
    servers_ = servers;
    monitor_.update_servers(now_, servers);
}

void FailoverController::add_counts(Ticks now, const TrafficCounts& counts) {
    now_ = std::max(now_, now);
    monitor_.add_counts(now_, counts);
    since_check_.add(counts), since_line_.add(counts);
    for (const auto& [name, server_counts] : counts.servers) {
        const auto server = servers_.find(name);
        if (server == servers_.end()) continue;
        auto& [answered, unanswered] = site_activity_[server->second.site];
        if (server_counts.answered > 0) answered = now_;
        if (server_counts.unanswered > 0) unanswered = now_;
    }
}

void FailoverController::receive_report(Ticks now, std::string_view bytes) {
    now_ = std::max(now_, now);
    auto report = decode_site_report(bytes);
    if (!report) return void(++counts_.malformed);
    ++counts_.reports_received;
    for (const SiteOverride& site_override : report->overrides) apply_override(site_override);
    peer_reports_.receive_report(now_, std::move(*report));
}

void FailoverController::set_peers(Ticks now, const std::set<std::string>& peers) {
    now_ = std::max(now_, now);
    peers_ = peers;
    peer_reports_.set_peers(now_, peers);
}

void FailoverController::set_planned_absences(const std::set<std::string>& servers) {
    monitor_.set_planned_absences(servers);
}

std::string FailoverController::apply_override(const SiteOverride& site_override) {
    const bool known =
        monitor_.sites().contains(site_override.site) ||
        std::ranges::any_of(servers_, [&](auto& entry) { return entry.second.site == site_override.site; });
    if (!known) return "no such site: " + site_override.site;
    if (!peer_reports_.apply_override(wall_, site_override))
        return "the override has expired or a later one is in force";
    log_line("site_order", {{"site", site_override.site},
                            {"kind", name_of(site_override.kind)},
                            {"by", site_override.by},
                            {"why", site_override.why}});
    next_check_ = next_report_ = now_; // apply and forward it at once
    return {};
}

// ---- periodic work

void FailoverController::step(Ticks now, Ticks wall) {
    now_ = std::max(now_, now), wall_ = wall;
    if (now_ >= next_check_) {
        next_check_ =
            now_ + std::max<Ticks>(
                       1, static_cast<Ticks>(kCheckInterval * static_cast<double>(options_.latency_target)));
        update_estimates();
        for (const SiteTransition& transition : monitor_.evaluate(now_, peer_reports_.observations(now_))) {
            ++counts_.transitions;
            log_line("site",
                     {{"name", transition.site},
                      {"from", name_of(transition.from)},
                      {"to", name_of(transition.to)},
                      {"evidence", transition.evidence}},
                     transition.to == SiteState::kLost);
            next_report_ =
                std::min(next_report_, now_ + options_.report_interval / 8); // report the transition early
        }
        refresh_plan();
    }
    if (now_ >= next_report_) send_reports();
}

void FailoverController::update_estimates() {
    const double elapsed_s = static_cast<double>(now_ - last_check_) / static_cast<double>(kTicksPerSecond);
    if (elapsed_s <= 0) return;
    last_check_ = now_;
    // A fixed number of checks enters the average, whatever the time between them.
    const double weight = kRateWeight;
    double answered = 0, total_weight = 0;
    for (const auto& [name, counts] : since_check_.servers) answered += counts.good;
    update_mean(own_answer_rate_, answered / elapsed_s, weight);
    for (auto& [key, row] : own_demand_.rows)
        if (!since_check_.classes.contains(key)) update_mean(row.searches, 0, weight);
    for (const auto& [key, counts] : since_check_.classes) {
        Demand::Row& row = own_demand_.rows[key];
        update_mean(row.searches, counts.asked / elapsed_s, weight);
        if (counts.asked > 0) {
            const double parts = static_cast<double>(counts.parts) / counts.asked;
            row.parts = row.parts <= 1 && parts > 0 ? parts : row.parts + weight * (parts - row.parts);
        }
    }
    for (auto& [shard, rate] : own_shard_rates_)
        if (!since_check_.shards.contains(shard)) update_mean(rate, 0, kShardRateWeight);
    for (const auto& [shard, count] : since_check_.shards)
        update_mean(own_shard_rates_[shard], static_cast<double>(count) / elapsed_s, kShardRateWeight);
    own_demand_.shards.clear();
    double total = 0;
    for (const auto& [shard, rate] : own_shard_rates_) total += rate;
    for (const auto& [shard, rate] : own_shard_rates_)
        own_demand_.shards[shard] = total > 0 ? rate / total : 0;
    for (const auto& [name, server] : servers_)
        if (server.live && !server.draining && !is_unavailable(monitor_.state(server.site)) &&
            !monitor_.is_silent(name, now_))
            total_weight += server.capacity_weight;
    capacity_.add_rate(now_, total_weight, peer_reports_.answer_rate(now_, own_answer_rate_));
    for (const auto& [name, counts] : since_check_.servers)
        if (const auto server = servers_.find(name);
            server != servers_.end() && available_share(name, server->second) >= 1)
            capacity_.add_reports(counts, server->second.capacity_weight);
    std::uint64_t in_time = 0, missed = 0;
    for (const auto& [key, counts] : since_check_.classes) {
        // Rejections beyond those of the plan count as misses.
        const auto admission = plan_.shedding.admissions.find(key);
        const bool planned = active_ && admission != plan_.shedding.admissions.end();
        const double rejected_share = planned ? 1 - admission->second.admitted_share : 0;
        const auto expected = static_cast<std::uint32_t>(std::ceil(rejected_share * counts.asked));
        const std::uint32_t unplanned = counts.rejected - std::min(counts.rejected, expected);
        in_time += counts.in_time;
        missed += counts.delivered - std::min(counts.delivered, counts.in_time) + counts.failed + unplanned;
    }
    capacity_.add_results(now_, in_time, missed, !active_);
    since_check_ = {};
}

// Sends to a few randomly chosen peers, so the received reports are a fair sample of the fleet.
void FailoverController::send_reports() {
    next_report_ =
        now_ + static_cast<Ticks>(static_cast<double>(options_.report_interval) * (0.75 + 0.5 * rng_.unit()));
    SiteReport report;
    report.from = options_.name, report.home_site = options_.home_site;
    report_serial_ = std::max(report_serial_ + 1, static_cast<std::uint64_t>(wall_));
    report.serial = report_serial_;
    for (const auto& [site, status] : monitor_.sites()) {
        const auto activity = site_activity_.find(site);
        const Ticks answered = activity == site_activity_.end() ? 0 : activity->second.first;
        const Ticks unanswered = activity == site_activity_.end() ? 0 : activity->second.second;
        report.rows.push_back(
            {site, status.state, answered > 0 && now_ <= answered + options_.report_interval,
             unanswered > 0 && now_ <= unanswered + options_.report_interval, site_share(site)});
    }
    report.demand = own_demand_, report.answer_rate = own_answer_rate_,
    report.overrides = peer_reports_.overrides(wall_);
    std::vector<std::string> names(peers_.begin(), peers_.end());
    const std::string bytes = encode_site_report(report);
    for (int i = 0; i < options_.report_fanout && !names.empty(); ++i) {
        const auto at = static_cast<std::size_t>(rng_.unit() * static_cast<double>(names.size()));
        effects_.emplace_back(OutgoingReport{names[at], bytes});
        names[at] = names.back(), names.pop_back();
        ++counts_.reports_sent;
    }
}

// ---- the plan

// An operator's override takes precedence over the observed state.
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
    for (const auto& [site, status] : monitor_.sites()) {
        const SiteOverride* site_override = peer_reports_.override_for(site, wall_);
        const bool excluded_by_override =
            site_override != nullptr &&
            (site_override->kind == SiteOverride::Kind::kLost || status.state == SiteState::kRampingUp);
        if (is_unavailable(status.state) || excluded_by_override) result.insert(site);
    }
    return result;
}

SiteName FailoverController::lost_site() const {
    const std::set<SiteName> sites = unavailable_sites();
    return sites.empty() ? SiteName{} : *sites.begin();
}

double FailoverController::available_share(const std::string& name, const ListedServer& server) const {
    // A silent server may merely have missed two attempts, so it counts for half.
    double result = server.draining ? 0 : monitor_.is_silent(name, now_) ? kSilentServerShare : 1;
    const SiteState state = monitor_.state(server.site);
    // Start times in the list are wall time.
    if (server.started > 0 && wall_ < server.started + options_.warm_up_time && options_.warm_up_time > 0) {
        const double age = std::max(0.0, static_cast<double>(wall_ - server.started) /
                                             static_cast<double>(options_.warm_up_time));
        result *= options_.cold_capacity_ratio + (1 - options_.cold_capacity_ratio) * age;
    }
    if (state == SiteState::kRampingUp)
        result =
            std::min(result, site_share(server.site)); // limits its load, does not scale its total_weight
    return result;
}

PlanInput FailoverController::plan_input() const {
    PlanInput result;
    result.servers = servers_;
    result.unit_capacity = capacity_.unit_capacity();
    for (const auto& [name, server] : servers_) result.available_share[name] = available_share(name, server);
    result.request_classes = options_.request_class_info, result.quotas = options_.quotas;
    result.demand = peer_reports_.demand(now_, own_demand_);
    // Blends the measured shard shares with an even distribution.
    const double even_share = 1.0 / options_.shards, samples = result.demand.parts() * kShardSampleSeconds;
    const double prior = kShardPriorParts * options_.shards;
    for (int shard = 0; shard < options_.shards; ++shard) {
        const auto share = result.demand.shards.try_emplace(shard, 0).first;
        share->second = (share->second * samples + even_share * prior) / (samples + prior);
    }
    result.origins = peer_reports_.origins(now_);
    result.costs = options_.costs, result.links = options_.links, result.headroom = options_.headroom;
    return result;
}

FailoverPolicyUpdate FailoverController::policy_for(const Plan& plan) const {
    FailoverPolicyUpdate policy;
    for (const auto& [site, status] : monitor_.sites()) {
        const double share = site_share(site);
        const std::int32_t zone = index_of(options_.zones, site);
        if (zone >= 0 && share < 1) policy.sites.push_back({ZoneNo{zone}, share});
    }
    for (const int shard : plan.lost_shards) policy.lost_shards.push_back(ShardNo{shard});
    bool admits_all = true;
    for (const auto& [key, admission] : plan.shedding.admissions) {
        const std::int32_t request_class = index_of(options_.request_classes, key.first);
        if (request_class < 0) continue;
        const std::int32_t tenant = index_of(options_.tenants, key.second);
        const double admitted = admission.impossible ? 0 : admission.admitted_share;
        // Answers that only lack a lost shard need no restriction.
        if (admitted >= 1 - kMinChange && admission.answer_weight >= 1 - kMinChange) continue;
        admits_all = admits_all && admitted >= 1 - kMinChange;
        policy.rows.push_back({RequestClassNo{request_class}, TenantNo{tenant},
                               admitted >= 1 - kMinChange ? 1 : admitted, admission.answer_weight});
    }
    for (const auto& [shard, served] : plan.assignment.served_share)
        if (served < 1 - kMinChange) policy.capacity_shares.emplace_back(ShardNo{shard}, served);
    const double utilization = plan.assignment.max_utilization;
    policy.retry_budget_share =
        !admits_all
            ? 0
            : std::clamp(1 - (utilization - kBudgetCutUtilization) / (1 - kBudgetCutUtilization), 0.0, 1.0);
    policy.retry_after = admits_all ? 0 : options_.max_retry_after;
    return policy;
}

void FailoverController::refresh_plan() {
    const bool all_healthy = std::ranges::all_of(monitor_.sites(), [&](const auto& entry) {
        const SiteState state = entry.second.state;
        return (state == SiteState::kHealthy || state == SiteState::kDegraded) &&
               site_share(entry.first) >= 1;
    });
    if (all_healthy) {
        if (!active_) return;
        active_ = false, policy_ = {};
        ++counts_.policy_updates;
        log_line("relief", {{"over", "all sites take part again"}});
        effects_.emplace_back(policy_);
        return;
    }
    if (!active_) capacity_.reset_correction();
    // A change of the site shares needs a new plan at once, gradual changes only every kReplanInterval.
    std::map<SiteName, double> shares;
    for (const auto& [site, status] : monitor_.sites()) shares[site] = site_share(site);
    if (!active_ || shares != planned_shares_ || now_ >= next_plan_) {
        next_plan_ =
            now_ + static_cast<Ticks>(kReplanInterval * static_cast<double>(options_.latency_target) *
                                      (0.75 + 0.5 * rng_.unit()));
        planned_shares_ = std::move(shares);
        plan_ = plan_for_lost_sites(plan_input(), unavailable_sites());
        ++counts_.plans;
    }
    FailoverPolicyUpdate policy = policy_for(plan_);
    if (!active_ || !nearly_equal(policy, policy_, kMinChange)) {
        active_ = true, policy_ = std::move(policy);
        ++counts_.policy_updates;
        effects_.emplace_back(policy_);
    }
    if (now_ < next_load_line_) return;
    next_load_line_ =
        now_ + static_cast<Ticks>(kLoadLineInterval * static_cast<double>(options_.latency_target));
    std::uint64_t asked = 0, delivered = 0, rejected = 0;
    for (const auto& [key, counts] : since_line_.classes)
        asked += counts.asked, delivered += counts.delivered, rejected += counts.rejected;
    std::string restrictions;
    for (const auto& [key, admission] : plan_.shedding.admissions)
        if (admission.admitted_share < 0.995 || admission.answer_weight < 0.995)
            restrictions += (restrictions.empty() ? "" : " ") + key.first + "/" + key.second + ":" +
                            percent(admission.admitted_share) +
                            (admission.answer_weight < 0.995 ? "@" + percent(admission.answer_weight) : "");
    log_line("site_load", {{"without", list_of(plan_.lost_sites)},
                           {"demand", number(plan_.demand)},
                           {"room", number(plan_.capacity)},
                           {"fullest", percent(plan_.assignment.max_utilization)},
                           {"gone", list_of(plan_.lost_shards)},
                           {"let_in", restrictions},
                           {"asked", std::to_string(asked)},
                           {"delivered", std::to_string(delivered)},
                           {"pushed_back", std::to_string(rejected)},
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
            plans.push_back(plan_for_lost_sites(input, without));
        } else {
            plans = plan_all_losses(input);
        }
        result["plans"] = Json::array();
        for (const Plan& plan : plans) {
            Json row{{"without", plan.lost_sites}, {"room", plan.capacity},
                     {"demand", plan.demand},      {"fullest", plan.assignment.max_utilization},
                     {"gone", plan.lost_shards},   {"survives", plan.utility_share}};
            row["let_in"] = Json::array();
            for (const auto& [key, admission] : plan.shedding.admissions)
                row["let_in"].push_back(
                    {key.first, key.second, admission.admitted_share, admission.answer_weight});
            std::map<SiteName, double> load_by_site;
            for (const auto& server : servers_)
                if (const auto load = plan.assignment.load.find(server.first);
                    load != plan.assignment.load.end())
                    load_by_site[server.second.site] += load->second;
            row["load"] = load_by_site;
            result["plans"].push_back(std::move(row));
        }
        return result;
    }
    result["sites"] = Json::array();
    const std::string only = query.value("site", "");
    for (const auto& [site, status] : monitor_.sites()) {
        if (!only.empty() && site != only) continue;
        Json row{{"site", site},
                 {"state", name_of(status.state)},
                 {"for_ms", (now_ - status.state_since) * 1000 / kTicksPerSecond},
                 {"servers", status.servers},
                 {"well", status.answering},
                 {"silent", status.silent},
                 {"gone", status.missing},
                 {"share", site_share(site)},
                 {"relapses", status.relapses},
                 {"evidence", status.evidence}};
        if (const SiteOverride* site_override = peer_reports_.override_for(site, wall_))
            row["order"] = {{"kind", name_of(site_override->kind)},
                            {"by", site_override->by},
                            {"why", site_override->why},
                            {"left_ms", (site_override->until - wall_) * 1000 / kTicksPerSecond}};
        Json others = Json::object();
        for (const auto& [name, other] : peer_reports_.latest())
            for (const auto& row_of_other : other.report.rows)
                if (row_of_other.site == site) others[name] = name_of(row_of_other.state);
        row["others"] = std::move(others);
        result["sites"].push_back(std::move(row));
    }
    if (verb == "explain" && result["sites"].empty()) result["error"] = "no such site: " + only;
    return result;
}

} // namespace ivyrill::recovery
