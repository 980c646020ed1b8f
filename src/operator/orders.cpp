#include "operator/orders.hpp"

#include <algorithm>
#include <set>

namespace ivyrill::operators {

namespace {

using access::Right;

Tenths seconds(std::int64_t count) { return count * kTenthsPerSecond; }

access::Rights read_rights(Fields& fields) {
    access::Rights rights;
    for (const std::string& word : fields.texts("rights")) {
        if (word != "read" && word != "write")
            fields.fail("rights", "expected \"read\" or \"write\", got '" + word + "'");
        rights.read = rights.read || word == "read";
        rights.write_own = rights.write_own || word == "write";
    }
    return rights;
}

access::NameRule read_rule(Fields fields, const access::AccessTerms& terms) {
    access::NameRule rule;
    rule.uri = fields.text("uri", ""), rule.dns = fields.text("dns", "");
    if (rule.uri.empty() == rule.dns.empty())
        fields.fail("uri", "expected a uri or a dns name, one of the two");
    const std::string& pattern = rule.uri.empty() ? rule.dns : rule.uri;
    if (pattern == "*" || pattern.find('*') < pattern.size() - 1)
        fields.fail(rule.uri.empty() ? "dns" : "uri", "expected '*' at the end only, after something");
    rule.club = fields.text("club"), rule.member = fields.text("member");
    if (!terms.clubs.contains(rule.club)) fields.fail("club", "no club is named '" + rule.club + "'");
    rule.rights = read_rights(fields), rule.owned = fields.texts("own");
    fields.done();
    return rule;
}

AccessOrders read_access(Fields fields) {
    AccessOrders made;
    access::AccessTerms& terms = made.terms;
    terms.issuer = fields.text("issuer"), terms.audience = fields.text("audience");
    terms.skew = seconds(fields.whole("skew_s", 0, 300, 5));
    terms.settle = seconds(fields.whole("settle_s", 0, 3600, 10));
    terms.crl_grace = seconds(fields.whole("crl_grace_s", 0, 7 * 86400, 3600));
    terms.most_token = static_cast<std::size_t>(fields.whole("token_bytes", 256, 8192, 4096));
    terms.longest_life = seconds(fields.whole("token_life_s", 60, 366 * 86'400, 31 * 86'400));
    terms.cached = static_cast<std::size_t>(fields.whole("cached_tokens", 0, 1'000'000, 4096));
    fields.each_named("clubs", [&](const std::string& club, const auto& tenant, const std::string& path) {
        if (!tenant.is_string()) throw OrderError(path + ": expected the tenant's name");
        if (!access::sound_name(club))
            throw OrderError(path + ": expected 1 to 64 letters, digits, '-', '_' or '.'");
        terms.clubs[club] = tenant.template get<std::string>();
    });
    if (terms.clubs.empty()) fields.fail("clubs", "expected one club at least");
    const auto right_of = [](const nlohmann::ordered_json& word,
                             const std::string& path) -> std::optional<Right> {
        if (word == "read") return Right::kRead;
        if (word == "write_own") return Right::kWriteOwn;
        if (word == "nobody") return {};
        throw OrderError(path + ": expected \"read\", \"write_own\" or \"nobody\"");
    };
    fields.each_named("products",
                      [&](const std::string& request_class, const auto& word, const std::string& path) {
                          const auto right = right_of(word, path);
                          if (!right) throw OrderError(path + ": expected \"read\" or \"write_own\"");
                          terms.request_classes[request_class] = *right;
                      });
    terms.other_request_classes =
        right_of(fields.text("other_products", "nobody"), fields.path() + ".other_products");
    if (terms.request_classes.empty() && !terms.other_request_classes)
        fields.fail("products", "nobody may do anything");
    fields.each("names", [&](Fields rule) { terms.names.push_back(read_rule(std::move(rule), terms)); });
    made.keys = fields.text("keys", ""), made.revocations = fields.text("revocations", "");
    made.authorities = fields.texts("authorities"), made.crls = fields.texts("crls");
    if (made.keys.empty() && made.authorities.empty())
        fields.fail("keys", "expected keys, authorities or both");
    if (!made.crls.empty() && made.authorities.empty())
        fields.fail("crls", "expected authorities beside them");
    made.plain_guarded = fields.one_of("plain_port", {"guarded", "open"}, "guarded") == "guarded";
    made.key_is_query = fields.one_of("note_key", {"parameter", "query"}, "parameter") == "query";
    fields.done();
    return made;
}

ListenerOrders read_listener(Fields fields, const Orders& orders) {
    ListenerOrders made;
    made.name = fields.text("name"), made.address = fields.text("address");
    made.certificate = fields.text("certificate", ""), made.key = fields.text("key", "");
    if (made.certificate.empty() != made.key.empty())
        fields.fail("key", "expected a certificate and its key, or neither");
    made.protocols = fields.texts("protocols");
    if (made.protocols.empty()) made.protocols = {"http/1.1"};
    for (const std::string& protocol : made.protocols)
        if (protocol != "h2" && protocol != "http/1.1")
            fields.fail("protocols", "expected \"h2\" or \"http/1.1\", got '" + protocol + "'");
    if (made.certificate.empty() && made.protocols.size() != 1)
        fields.fail("protocols", "expected one: on a plain listener nobody can agree on another");
    const std::string clients =
        fields.one_of("client_certificates", {"none", "optional", "required"}, "none");
    made.clients = clients == "none"       ? transport::ClientCertificates::kNone
                   : clients == "optional" ? transport::ClientCertificates::kOptional
                                           : transport::ClientCertificates::kRequired;
    made.guarded = fields.flag("guarded", orders.access.has_value());
    if (made.guarded && !orders.access) fields.fail("guarded", "there is no section 'access'");
    if (clients != "none" && made.certificate.empty())
        fields.fail("client_certificates", "expected a certificate of ours");
    if (clients != "none" && (!orders.access || orders.access->authorities.empty()))
        fields.fail("client_certificates", "no authority is named in 'access'");
    fields.done();
    return made;
}

Tenths millis(std::int64_t count) { return count * kTenthsPerSecond / 1000; }

MemberOrders read_members(Fields fields) {
    MemberOrders made;
    made.address = fields.text("address"), made.secret = fields.text("secret");
    made.peers = fields.texts("peers"), made.bind = fields.text("bind", made.address);
    made.probe_gap = millis(fields.whole("probe_ms", 50, 60'000, 1000));
    fields.done();
    return made;
}

maintenance::FailureAction read_answer(Fields& fields, const std::string& name,
                                       maintenance::FailureAction otherwise) {
    static const std::vector<std::string> kWords{"wait", "skip", "put_back", "stop", "call"};
    const std::string word = fields.one_of(name, kWords, kWords[static_cast<std::size_t>(otherwise)]);
    return static_cast<maintenance::FailureAction>(std::ranges::find(kWords, word) - kWords.begin());
}

RotaOrders read_rota(Fields fields, const Orders& orders) {
    RotaOrders made;
    if (!orders.members)
        throw OrderError("rota: there is no section 'members': nobody to settle anything with");
    fields.each_named("candidates",
                      [&](const std::string& name, const auto& address, const std::string& path) {
                          if (!address.is_string()) throw OrderError(path + ": expected an address");
                          made.candidates.emplace_back(name, address.template get<std::string>());
                      });
    made.council = static_cast<std::size_t>(fields.whole("council", 1, 7, 3));
    if (made.council % 2 == 0)
        fields.fail("council", "expected 1, 3, 5 or 7: an even one stands no more failures");
    if (made.candidates.size() < made.council)
        fields.fail("candidates", "expected as many as the council has seats, or more");
    made.ledger = fields.text("ledger", "rota/ledger.db"), made.witness = fields.text("witness", "");
    if (made.ledger.find('/') == std::string::npos)
        fields.fail(
            "ledger",
            "expected a folder of its own, as in \"rota/ledger.db\": this one is watched for changes");
    made.heartbeat = millis(fields.whole("heartbeat_ms", 10, 5000, 100));
    made.replace_after = seconds(fields.whole("replace_after_s", 1, 86'400, 60));
    nlohmann::ordered_json none = nlohmann::ordered_json::object();
    const auto group = [&](const char* name) {
        return fields.object(name).value_or(Fields(none, fields.path() + "." + name));
    };
    Fields limits = group("limits");
    made.limits.min_replicas = static_cast<int>(limits.whole("replicas_stay", 1, 100, 1));
    made.limits.zone_share = limits.number("zone_share", 0.001, 1, 0.34);
    made.limits.shard_share = limits.number("shard_share", 0.001, 1, 0.5);
    made.limits.fleet_share = limits.number("fleet_share", 0.001, 1, 0.2);
    made.limits.front_share = limits.number("front_share", 0.001, 1, 0.2);
    limits.done();
    Fields spans = group("spans");
    maintenance::Timing& s = made.spans;
    s.lease = millis(spans.whole("grant_ms", 200, 600'000, 10'000));
    s.drain = millis(spans.whole("drain_ms", 100, 86'400'000, 60'000));
    s.work = millis(spans.whole("work_ms", 100, 86'400'000, 1'800'000));
    s.bring_back = millis(spans.whole("back_ms", 100, 86'400'000, 120'000));
    s.warm_up = millis(spans.whole("warm_ms", 100, 86'400'000, 120'000));
    s.action = millis(spans.whole("act_ms", 20, 600'000, 2'000));
    s.fleet_settle = millis(spans.whole("settle_ms", 0, 600'000, 3'000));
    s.clock_error = spans.number("clock_error", 0, 0.2, 0.01);
    s.max_setbacks = static_cast<int>(spans.whole("setbacks", 0, 100, 3));
    s.max_rejected_share = spans.number("strain", 0, 1, 0.05);
    if (s.action >= s.lease)
        spans.fail("act_ms", "expected less than grant_ms: a grant would end within one act");
    const Tenths election = 16 * made.heartbeat;
    if (s.lease <= election)
        spans.fail("grant_ms",
                   "expected more than 16 heartbeats: grants would end at each change of the leader");
    spans.done();
    Fields answers = group("answers");
    maintenance::FailurePolicy& a = made.answers;
    a.drain_late = read_answer(answers, "drain_late", a.drain_late);
    a.work_late = read_answer(answers, "work_late", a.work_late);
    a.back_late = read_answer(answers, "back_late", a.back_late);
    a.broken = read_answer(answers, "broken", a.broken);
    a.cold_late = read_answer(answers, "cold_late", a.cold_late);
    a.neighbour_down = read_answer(answers, "neighbour_down", a.neighbour_down);
    if (a.broken == maintenance::FailureAction::kRollBack ||
        a.back_late == maintenance::FailureAction::kRollBack)
        answers.fail("broken", "what does not come back cannot be put back: expected another answer");
    answers.done();
    fields.each_named("work_ms", [&](const std::string& kind, const auto& count, const std::string& path) {
        if (!count.is_number_integer() || count.template get<std::int64_t>() <= 0)
            throw OrderError(path + ": expected milliseconds, a whole number");
        made.work[kind == "other" ? "" : kind] = millis(count.template get<std::int64_t>());
    });
    Fields keeper = fields.object("keeper").value_or(Fields(none, fields.path() + ".keeper"));
    made.keeper_command = keeper.texts("command"), made.keeper_address = keeper.text("address", "");
    if (made.keeper_command.empty() == made.keeper_address.empty())
        keeper.fail("command", "expected a command or an address, one of the two");
    keeper.done();
    fields.done();
    return made;
}

} // namespace

Orders read_orders(const nlohmann::ordered_json& evaluated) {
    Orders made;
    Fields top(evaluated, "");
    if (auto fields = top.object("members")) made.members = read_members(std::move(*fields));
    if (auto fields = top.object("rota")) made.rota = read_rota(std::move(*fields), made);
    if (auto fields = top.object("access")) made.access = read_access(std::move(*fields));
    std::set<std::string> seen;
    top.each("listeners", [&](Fields fields) {
        made.listeners.push_back(read_listener(fields, made));
        for (const std::string& word : {made.listeners.back().name, made.listeners.back().address})
            if (!word.ends_with(":0") && !seen.insert(word).second)
                throw OrderError(fields.path() + ": '" + word + "' stands twice");
    });
    nlohmann::ordered_json none = nlohmann::ordered_json::object();
    Fields tls = top.object("tls").value_or(Fields(none, "tls"));
    made.handshakes.most_open = static_cast<std::size_t>(tls.whole("open_handshakes", 1, 10'000, 64));
    made.handshakes.steps_a_second = tls.number("handshake_steps_a_second", 1, 100'000, 1000);
    made.handshakes.steps_a_turn = static_cast<std::size_t>(tls.whole("handshake_steps_a_turn", 1, 100, 4));
    made.ticket_span = seconds(tls.whole("ticket_span_s", 1, 86'400, 3600));
    tls.done();
    Fields http2 = top.object("http2").value_or(Fields(none, "http2"));
    limits::ConnectionLimits& terms = made.connections;
    terms.max_streams = static_cast<std::size_t>(http2.whole("open_streams", 1, 10'000, 100));
    terms.max_header_list_bytes = static_cast<std::size_t>(http2.whole("fields_bytes", 1024, 65'536, 16'384));
    terms.max_buffered_bytes = static_cast<std::size_t>(http2.whole("held_bytes", 65'536, 64 << 20, 1 << 20));
    http2.done();
    Fields audit = top.object("audit").value_or(Fields(none, "audit"));
    made.audit.file = audit.text("file", "");
    made.audit.lines_a_second = static_cast<int>(audit.whole("lines_a_second", 1, 10'000, 20));
    audit.done();
    top.done();
    return made;
}

} // namespace ivyrill::operators
