#include "lab/front_node_fixture.hpp"

#include "lab/h2_client.hpp"

#include "program/log.hpp"
#include "program/node.hpp"
#include "program/operator_files.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <sys/inotify.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ivyrill::lab {

namespace {

constexpr Ticks kDay = 86'400 * kTicksPerSecond;

Ticks wall() { return transport::Loop::wall(); }

constexpr const char* kOperatorFile = R"(# Operator file of the test fixture.
_lines = 200
access = {
    "issuer": "trinacria", "audience": "archive", "skew_s": 2, "crl_grace_s": 60,
    "clubs": {"circolo-etna": "etna", "circolo-conca": "conca"},
    "products": {"find": "read", "annotate": "write_own"},
    "keys": "keys", "revocations": "keys/revocations.json",
    "authorities": ["ca.pem"], "crls": ["ca.crl"],
    "names": [{"uri": "spiffe://trinacria.example/etna/*", "club": "circolo-etna", "member": "{rest}",
               "rights": ["read", "write"], "own": ["g7"]}],
}
listeners = [
    {"name": "sealed", "address": "127.0.0.1:0", "certificate": "server.pem", "key": "server.key"},
    {"name": "certified", "address": "127.0.0.1:0", "certificate": "server.pem", "key": "server.key",
     "client_certificates": "optional", "protocols": ["h2", "http/1.1"]},
    {"name": "h2", "address": "127.0.0.1:0", "protocols": ["h2"], "guarded": False},
    {"name": "guarded-h2", "address": "127.0.0.1:0", "protocols": ["h2"]},
]
audit = {"file": _FOLDER + "/audit.log", "lines_a_second": _lines}
)";

} // namespace

FrontNodeFixture::FrontNodeFixture(const Plan& plan)
    : fleet(plan.servers), root("root", wall() - kDay, wall() + kDay), last_crl_at_(wall() - kDay / 2) {
    std::string folder_template = (std::filesystem::temp_directory_path() / "ivyrill-hall-XXXXXX").string();
    if (mkdtemp(folder_template.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    folder_ = folder_template;
    std::filesystem::create_directory(folder_ + "/keys");
    write("ca.pem", root.certificate());
    revoke_serials({});
    renew_server();
    rotate("k0", access::Algorithm::kEdDsa, kDay);
    write("ivyrill.star", "_FOLDER = \"" + folder_ + "\"\n" + kOperatorFile + plan.more);

    protocol::StartConfig start_config;
    start_config.name = "hall", start_config.listen = "127.0.0.1:0",
    start_config.discovery = fleet.discovery();
    start_config.sockets = plan.sockets, start_config.memory_mb = 192, start_config.known = fleet.list();
    SchedulerConfig& terms = start_config.front_node_config.scheduler;
    for (const Idempotency idempotency : {Idempotency::kIdempotent, plan.idempotency}) {
        RequestClassConfig request_class;
        request_class.latency_target = kTicksPerSecond, request_class.deadline = 2 * kTicksPerSecond,
        request_class.idempotency = idempotency;
        request_class.late_utility_ratio = 0.1;
        terms.request_classes.push_back(request_class);
    }
    terms.tenants = {{1e6}, {1e6}};
    terms.decision_interval = 50, terms.warm_up_time = kTicksPerSecond, terms.cold_capacity_ratio = 0.2;
    terms.overload_window = kTicksPerSecond, terms.overload_factor = 2, terms.max_attempts = 3;
    terms.may_cancel = terms.may_probe = true, terms.list_mode = ListMode::kQueried;
    terms.cell_count = plan.servers;
    start_config.front_node_config.request_classes = {"find", "annotate"},
    start_config.front_node_config.tenants = {"etna", "conca"};
    start_config.front_node_config.zones = {"a"}, start_config.front_node_config.server_kinds = {"m"},
    start_config.front_node_config.shards = plan.servers;
    start_config.front_node_config.max_calls_per_connection = 100,
    start_config.front_node_config.scheduler.connect_timeout = kTicksPerSecond / 4;
    start_config.front_node_config.idle_timeout = 15 * kTicksPerSecond,
    start_config.front_node_config.watch_timeout = 100 * kTicksPerSecond;

    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) throw std::runtime_error("cannot create a pipe");
    node_ = fork();
    if (node_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the child ends with its parent
        close(pipe_ends[0]);
        int status = 2;
        try {
            program::open_log("hall", "err");
            program::Node node(
                start_config, [start_config] { return start_config; },
                plan.access_controlled ? folder_ + "/ivyrill.star" : "");
            int ports[5] = {node.port()};
            for (std::size_t i = 1; plan.access_controlled && i < 5; ++i) ports[i] = node.port(i);
            if (::write(pipe_ends[1], ports, sizeof ports) == sizeof ports) status = node.run();
        } catch (const std::exception& error) { program::log().error("{}", error.what()); }
        _exit(status);
    }
    close(pipe_ends[1]);
    int ports[5] = {};
    const bool started = read(pipe_ends[0], ports, sizeof ports) == sizeof ports;
    close(pipe_ends[0]);
    if (!started) throw std::runtime_error("the front node did not start");
    for (const int port : ports) addresses_.push_back("127.0.0.1:" + std::to_string(port));
    fleet.start(); // starts a thread, so only after the fork
}

FrontNodeFixture::~FrontNodeFixture() {
    if (node_ > 0) kill(node_, SIGKILL), waitpid(node_, nullptr, 0);
    std::error_code error;
    std::filesystem::remove_all(folder_, error);
}

void FrontNodeFixture::write(const std::string& name, const std::string& text) const {
    program::write_file(folder_ + "/" + name, text, false);
}

void FrontNodeFixture::write_key(const access::Key& key) const {
    write("keys/" + key.name + ".jwk", access::write_key(key, false));
}

void FrontNodeFixture::rotate(const std::string& name, access::Algorithm algorithm, Ticks overlap) {
    const Ticks now = wall() / kTicksPerSecond * kTicksPerSecond;
    access::Key new_key{
        name, access::SigningKey::generate(algorithm), {now, now, access::kNever, access::kNever}};
    write_key(new_key); // published before the old key is retired
    for (access::Key& key : keys_) {
        if (key.times.outgoing != access::kNever) continue;
        key.times.outgoing = now;
        key.times.gone = (now + overlap + kTicksPerSecond - 1) / kTicksPerSecond * kTicksPerSecond;
        write_key(key);
    }
    keys_.push_back(std::move(new_key));
}

std::string FrontNodeFixture::token(const std::string& member, const access::Key& key, Ticks lifetime,
                                    std::vector<std::string> owned_keys, bool write) const {
    access::Claims claims;
    claims.issuer = "trinacria", claims.audience = {"archive"};
    claims.issued = wall(), claims.expires = wall() + lifetime;
    claims.caller = {"circolo-etna", member, {true, write}, std::move(owned_keys)};
    return access::sign_token(claims, key);
}

IssuedCertificate FrontNodeFixture::issue(const std::string& member, Ticks lifetime) const {
    return root.issue({member,
                       {"spiffe://trinacria.example/etna/" + member},
                       {},
                       wall() - kDay / 2,
                       wall() + lifetime,
                       false});
}

void FrontNodeFixture::renew_server() {
    server_ = root.issue({"front", {}, {"front.example.org"}, wall() - kDay / 2, wall() + kDay, false});
    // The key must match the certificate; until both files are replaced, the program keeps the old pair.
    write("server.key", server_.key);
    write("server.pem", server_.certificate);
}

void FrontNodeFixture::revoke_serials(std::vector<std::string> serials) {
    revoked_.insert(revoked_.end(), serials.begin(), serials.end());
    last_crl_at_ += kTicksPerSecond; // a CRL must be newer than the previous one
    write("ca.crl", root.crl(revoked_, last_crl_at_, wall() + kDay));
}

void FrontNodeFixture::revoke_member(const std::string& member, Ticks since) {
    revocations_.members["circolo-etna/" + member] = since;
    write("keys/revocations.json", revocations_.write());
}

void FrontNodeFixture::signal(int number) const { kill(node_, number); }

bool FrontNodeFixture::running() const { return waitpid(node_, nullptr, WNOHANG) == 0; }

int FrontNodeFixture::exit_status() {
    int status = 0;
    waitpid(node_, &status, 0);
    node_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::size_t FrontNodeFixture::count_audit_lines(const std::string& text) const {
    std::ifstream file(folder_ + "/audit.log");
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line);) lines += line.find(text) != std::string::npos ? 1 : 0;
    return lines;
}

bool FrontNodeFixture::await_audit(const std::string& text, std::size_t lines, int timeout_ms) const {
    transport::Loop loop;
    transport::Source changes(loop, inotify_init1(IN_NONBLOCK | IN_CLOEXEC));
    inotify_add_watch(changes.descriptor(), (folder_ + "/audit.log").c_str(), IN_MODIFY);
    const Ticks end = loop.now() + timeout_ms * (kTicksPerSecond / 1000);
    for (char bytes[4096];
         count_audit_lines(text) < lines;) { // checked at once and after each write to the log
        if (loop.now() >= end) return false;
        loop.wait(end);
        while (read(changes.descriptor(), bytes, sizeof bytes) > 0) {}
    }
    return true;
}

std::uint64_t FrontNodeFixture::cpu_us() const {
    std::ifstream file("/proc/" + std::to_string(node_) + "/stat");
    std::string word;
    std::uint64_t ticks = 0;
    for (int i = 1; i <= 15 && file >> word; ++i)
        if (i == 14 || i == 15) ticks += std::stoull(word);
    return ticks * 1'000'000 / static_cast<std::uint64_t>(sysconf(_SC_CLK_TCK));
}

std::uint64_t FrontNodeFixture::memory_kb() const {
    std::ifstream file("/proc/" + std::to_string(node_) + "/statm");
    std::uint64_t all = 0, resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) / 1024;
}

std::string search_bytes(const SearchRequest& request) {
    const std::string body = search_body(request);
    std::string out = "POST /" + request.request_class + (request.key.empty() ? "" : "?k=" + request.key) +
                      " HTTP/1.1\r\nHost: a\r\n";
    out += "X-Request-ID: " + request.id + "\r\nX-Timeout: " + std::to_string(request.left_ms) + "m\r\n";
    if (!request.token.empty()) out += "Authorization: Bearer " + request.token + "\r\n";
    if (!request.tenant.empty()) out += "X-Tenant-Id: " + request.tenant + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace ivyrill::lab
