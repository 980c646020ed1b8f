#include "operator/orders.hpp"

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
    fields.each_named("products", [&](const std::string& product, const auto& word, const std::string& path) {
        const auto right = right_of(word, path);
        if (!right) throw OrderError(path + ": expected \"read\" or \"write_own\"");
        terms.products[product] = *right;
    });
    terms.other_products =
        right_of(fields.text("other_products", "nobody"), fields.path() + ".other_products");
    if (terms.products.empty() && !terms.other_products) fields.fail("products", "nobody may do anything");
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

} // namespace

Orders read_orders(const nlohmann::ordered_json& evaluated) {
    Orders made;
    Fields top(evaluated, "");
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
    limits::ConnectionTerms& terms = made.connections;
    terms.most_streams = static_cast<std::size_t>(http2.whole("open_streams", 1, 10'000, 100));
    terms.most_fields = static_cast<std::size_t>(http2.whole("fields_bytes", 1024, 65'536, 16'384));
    terms.most_held = static_cast<std::size_t>(http2.whole("held_bytes", 65'536, 64 << 20, 1 << 20));
    http2.done();
    Fields audit = top.object("audit").value_or(Fields(none, "audit"));
    made.audit.file = audit.text("file", "");
    made.audit.lines_a_second = static_cast<int>(audit.whole("lines_a_second", 1, 10'000, 20));
    audit.done();
    top.done();
    return made;
}

} // namespace ivyrill::operators
