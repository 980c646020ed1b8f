#include "operator/operator_settings.hpp"

#include <algorithm>
#include <set>

namespace ivyrill::operators {

namespace {

using access::Right;

Ticks seconds(std::int64_t count) { return count * kTicksPerSecond; }

access::Rights read_rights(FieldReader& fields) {
    access::Rights rights;
    for (const std::string& value : fields.text_list("rights")) {
        if (value != "read" && value != "write")
            fields.fail("rights", "expected \"read\" or \"write\", got '" + value + "'");
        rights.read = rights.read || value == "read";
        rights.write_own = rights.write_own || value == "write";
    }
    return rights;
}

access::NameRule read_rule(FieldReader fields, const access::AccessOptions& options) {
    access::NameRule rule;
    rule.uri = fields.text("uri", ""), rule.dns = fields.text("dns", "");
    if (rule.uri.empty() == rule.dns.empty()) fields.fail("uri", "expected either a uri or a dns name");
    const std::string& pattern = rule.uri.empty() ? rule.dns : rule.uri;
    if (pattern == "*" || pattern.find('*') < pattern.size() - 1)
        fields.fail(rule.uri.empty() ? "dns" : "uri", "expected '*' at the end only, after a prefix");
    rule.club = fields.text("club"), rule.member = fields.text("member");
    if (!options.clubs.contains(rule.club)) fields.fail("club", "no club is named '" + rule.club + "'");
    rule.rights = read_rights(fields), rule.owned = fields.text_list("own");
    fields.reject_unknown();
    return rule;
}

AccessSettings read_access(FieldReader fields) {
    AccessSettings result;
    access::AccessOptions& options = result.options;
    options.issuer = fields.text("issuer"), options.audience = fields.text("audience");
    options.skew = seconds(fields.integer("skew_s", 0, 300, 5));
    options.settle = seconds(fields.integer("settle_s", 0, 3600, 10));
    options.crl_grace = seconds(fields.integer("crl_grace_s", 0, 7 * 86400, 3600));
    options.max_token_bytes = static_cast<std::size_t>(fields.integer("token_bytes", 256, 8192, 4096));
    options.max_token_lifetime = seconds(fields.integer("token_life_s", 60, 366 * 86'400, 31 * 86'400));
    options.max_cached_tokens = static_cast<std::size_t>(fields.integer("cached_tokens", 0, 1'000'000, 4096));
    fields.for_each_entry("clubs", [&](const std::string& club, const auto& tenant, const std::string& path) {
        if (!tenant.is_string()) throw SettingsError(path + ": expected the tenant's name");
        if (!access::is_valid_name(club))
            throw SettingsError(path + ": expected 1 to 64 letters, digits, '-', '_' or '.'");
        options.clubs[club] = tenant.template get<std::string>();
    });
    if (options.clubs.empty()) fields.fail("clubs", "expected at least one club");
    const auto right_of = [](const nlohmann::ordered_json& value,
                             const std::string& path) -> std::optional<Right> {
        if (value == "read") return Right::kRead;
        if (value == "write_own") return Right::kWriteOwn;
        if (value == "nobody") return {};
        throw SettingsError(path + ": expected \"read\", \"write_own\" or \"nobody\"");
    };
    fields.for_each_entry("products",
                          [&](const std::string& request_class, const auto& value, const std::string& path) {
                              const auto right = right_of(value, path);
                              if (!right) throw SettingsError(path + ": expected \"read\" or \"write_own\"");
                              options.request_classes[request_class] = *right;
                          });
    options.other_request_classes =
        right_of(fields.text("other_products", "nobody"), fields.path() + ".other_products");
    if (options.request_classes.empty() && !options.other_request_classes)
        fields.fail("products", "no request class is accessible");
    fields.for_each_object(
        "names", [&](FieldReader rule) { options.names.push_back(read_rule(std::move(rule), options)); });
    result.keys = fields.text("keys", ""), result.revocations = fields.text("revocations", "");
    result.authorities = fields.text_list("authorities"), result.crls = fields.text_list("crls");
    if (result.keys.empty() && result.authorities.empty())
        fields.fail("keys", "expected keys, authorities or both");
    if (!result.crls.empty() && result.authorities.empty()) fields.fail("crls", "requires authorities");
    result.platform_port_guarded = fields.one_of("plain_port", {"guarded", "open"}, "guarded") == "guarded";
    result.query_is_note_key = fields.one_of("note_key", {"parameter", "query"}, "parameter") == "query";
    fields.reject_unknown();
    return result;
}

ListenerSettings read_listener(FieldReader fields, const OperatorSettings& settings) {
    ListenerSettings result;
    result.name = fields.text("name"), result.address = fields.text("address");
    result.certificate = fields.text("certificate", ""), result.key = fields.text("key", "");
    if (result.certificate.empty() != result.key.empty())
        fields.fail("key", "expected a certificate and its key, or neither");
    result.protocols = fields.text_list("protocols");
    if (result.protocols.empty()) result.protocols = {"http/1.1"};
    for (const std::string& protocol : result.protocols)
        if (protocol != "h2" && protocol != "http/1.1")
            fields.fail("protocols", "expected \"h2\" or \"http/1.1\", got '" + protocol + "'");
    if (result.certificate.empty() && result.protocols.size() != 1)
        fields.fail("protocols", "expected one protocol: a plain listener cannot negotiate");
    const std::string clients =
        fields.one_of("client_certificates", {"none", "optional", "required"}, "none");
    result.client_certificates = clients == "none"       ? transport::ClientCertificates::kNone
                                 : clients == "optional" ? transport::ClientCertificates::kOptional
                                                         : transport::ClientCertificates::kRequired;
    result.guarded = fields.flag("guarded", settings.access.has_value());
    if (result.guarded && !settings.access) fields.fail("guarded", "there is no section 'access'");
    if (clients != "none" && result.certificate.empty())
        fields.fail("client_certificates", "requires a certificate of the listener");
    if (clients != "none" && (!settings.access || settings.access->authorities.empty()))
        fields.fail("client_certificates", "no authority is named in 'access'");
    fields.reject_unknown();
    return result;
}

Ticks millis(std::int64_t count) { return count * kTicksPerSecond / 1000; }

MembershipSettings read_members(FieldReader fields) {
    MembershipSettings result;
    result.address = fields.text("address"), result.secret = fields.text("secret");
    result.peers = fields.text_list("peers"), result.bind = fields.text("bind", result.address);
    result.probe_interval = millis(fields.integer("probe_ms", 50, 60'000, 1000));
    fields.reject_unknown();
    return result;
}

maintenance::FailureAction read_answer(FieldReader& fields, const std::string& name,
                                       maintenance::FailureAction default_value) {
    static const std::vector<std::string> kNames{"wait", "skip", "put_back", "stop", "call"};
    const std::string value = fields.one_of(name, kNames, kNames[static_cast<std::size_t>(default_value)]);
    return static_cast<maintenance::FailureAction>(std::ranges::find(kNames, value) - kNames.begin());
}

MaintenanceSettings read_maintenance(FieldReader fields, const OperatorSettings& settings) {
    MaintenanceSettings result;
    if (!settings.membership) throw SettingsError("rota: there is no section 'members', which it requires");
    fields.for_each_entry("candidates",
                          [&](const std::string& name, const auto& address, const std::string& path) {
                              if (!address.is_string()) throw SettingsError(path + ": expected an address");
                              result.candidates.emplace_back(name, address.template get<std::string>());
                          });
    result.voter_count = static_cast<std::size_t>(fields.integer("council", 1, 7, 3));
    if (result.voter_count % 2 == 0)
        fields.fail("council", "expected 1, 3, 5 or 7: an even number tolerates no more failures");
    if (result.candidates.size() < result.voter_count)
        fields.fail("candidates", "expected as many as the council has voters, or more");
    result.raft_store = fields.text("ledger", "rota/ledger.db"), result.witness = fields.text("witness", "");
    if (result.raft_store.find('/') == std::string::npos)
        fields.fail(
            "ledger",
            "expected a folder of its own, as in \"rota/ledger.db\": this one is watched for changes");
    result.heartbeat = millis(fields.integer("heartbeat_ms", 10, 5000, 100));
    result.replace_after = seconds(fields.integer("replace_after_s", 1, 86'400, 60));
    nlohmann::ordered_json none = nlohmann::ordered_json::object();
    const auto group = [&](const char* name) {
        return fields.object(name).value_or(FieldReader(none, fields.path() + "." + name));
    };
    FieldReader limits = group("limits");
    result.limits.min_replicas = static_cast<int>(limits.integer("replicas_stay", 1, 100, 1));
    result.limits.zone_share = limits.number("zone_share", 0.001, 1, 0.34);
    result.limits.shard_share = limits.number("shard_share", 0.001, 1, 0.5);
    result.limits.fleet_share = limits.number("fleet_share", 0.001, 1, 0.2);
    result.limits.front_share = limits.number("front_share", 0.001, 1, 0.2);
    limits.reject_unknown();
    FieldReader spans = group("spans");
    maintenance::Timing& timing = result.timing;
    timing.lease = millis(spans.integer("grant_ms", 200, 600'000, 10'000));
    timing.drain = millis(spans.integer("drain_ms", 100, 86'400'000, 60'000));
    timing.work = millis(spans.integer("work_ms", 100, 86'400'000, 1'800'000));
    timing.bring_back = millis(spans.integer("back_ms", 100, 86'400'000, 120'000));
    timing.warm_up = millis(spans.integer("warm_ms", 100, 86'400'000, 120'000));
    timing.action = millis(spans.integer("act_ms", 20, 600'000, 2'000));
    timing.fleet_settle = millis(spans.integer("settle_ms", 0, 600'000, 3'000));
    timing.clock_error = spans.number("clock_error", 0, 0.2, 0.01);
    timing.max_setbacks = static_cast<int>(spans.integer("setbacks", 0, 100, 3));
    timing.max_rejected_share = spans.number("strain", 0, 1, 0.05);
    if (timing.action >= timing.lease)
        spans.fail("act_ms", "expected less than grant_ms: a lease would expire during one action");
    const Ticks election = 16 * result.heartbeat;
    if (timing.lease <= election)
        spans.fail("grant_ms",
                   "expected more than 16 heartbeats: leases would expire at each leader election");
    spans.reject_unknown();
    FieldReader answers = group("answers");
    maintenance::FailurePolicy& failure_policy = result.failure_policy;
    failure_policy.drain_late = read_answer(answers, "drain_late", failure_policy.drain_late);
    failure_policy.work_late = read_answer(answers, "work_late", failure_policy.work_late);
    failure_policy.back_late = read_answer(answers, "back_late", failure_policy.back_late);
    failure_policy.broken = read_answer(answers, "broken", failure_policy.broken);
    failure_policy.cold_late = read_answer(answers, "cold_late", failure_policy.cold_late);
    failure_policy.neighbour_down = read_answer(answers, "neighbour_down", failure_policy.neighbour_down);
    if (failure_policy.broken == maintenance::FailureAction::kRollBack ||
        failure_policy.back_late == maintenance::FailureAction::kRollBack)
        answers.fail("broken", "what does not come back cannot be put back: expected another answer");
    answers.reject_unknown();
    fields.for_each_entry(
        "work_ms", [&](const std::string& kind, const auto& count, const std::string& path) {
            if (!count.is_number_integer() || count.template get<std::int64_t>() <= 0)
                throw SettingsError(path + ": expected milliseconds, a whole number");
            result.work[kind == "other" ? "" : kind] = millis(count.template get<std::int64_t>());
        });
    FieldReader keeper = fields.object("keeper").value_or(FieldReader(none, fields.path() + ".keeper"));
    result.controller_command = keeper.text_list("command"),
    result.controller_address = keeper.text("address", "");
    if (result.controller_command.empty() == result.controller_address.empty())
        keeper.fail("command", "expected a command or an address, not both");
    keeper.reject_unknown();
    fields.reject_unknown();
    return result;
}

} // namespace

OperatorSettings read_operator_settings(const nlohmann::ordered_json& evaluated) {
    OperatorSettings result;
    FieldReader top(evaluated, "");
    if (auto fields = top.object("members")) result.membership = read_members(std::move(*fields));
    if (auto fields = top.object("rota")) result.maintenance = read_maintenance(std::move(*fields), result);
    if (auto fields = top.object("access")) result.access = read_access(std::move(*fields));
    std::set<std::string> seen;
    top.for_each_object("listeners", [&](FieldReader fields) {
        result.listeners.push_back(read_listener(fields, result));
        for (const std::string& value : {result.listeners.back().name, result.listeners.back().address})
            if (!value.ends_with(":0") && !seen.insert(value).second)
                throw SettingsError(fields.path() + ": '" + value + "' is used twice");
    });
    nlohmann::ordered_json none = nlohmann::ordered_json::object();
    FieldReader tls = top.object("tls").value_or(FieldReader(none, "tls"));
    result.handshakes.max_open = static_cast<std::size_t>(tls.integer("open_handshakes", 1, 10'000, 64));
    result.handshakes.steps_per_second = tls.number("handshake_steps_a_second", 1, 100'000, 1000);
    result.handshakes.steps_per_turn =
        static_cast<std::size_t>(tls.integer("handshake_steps_a_turn", 1, 100, 4));
    result.ticket_lifetime = seconds(tls.integer("ticket_span_s", 1, 86'400, 3600));
    tls.reject_unknown();
    FieldReader http2 = top.object("http2").value_or(FieldReader(none, "http2"));
    limits::ConnectionLimits& connection_limits = result.connections;
    connection_limits.max_streams = static_cast<std::size_t>(http2.integer("open_streams", 1, 10'000, 100));
    connection_limits.max_header_list_bytes =
        static_cast<std::size_t>(http2.integer("fields_bytes", 1024, 65'536, 16'384));
    connection_limits.max_buffered_bytes =
        static_cast<std::size_t>(http2.integer("held_bytes", 65'536, 64 << 20, 1 << 20));
    http2.reject_unknown();
    FieldReader audit = top.object("audit").value_or(FieldReader(none, "audit"));
    result.audit.file = audit.text("file", "");
    result.audit.max_lines_per_second = static_cast<int>(audit.integer("lines_a_second", 1, 10'000, 20));
    audit.reject_unknown();
    top.reject_unknown();
    return result;
}

} // namespace ivyrill::operators
