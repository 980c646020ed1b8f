#include "program/credentials.hpp"

#include "access/gate.hpp"
#include "access/text.hpp"
#include "program/operator_files.hpp"
#include "transport/loop.hpp"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <memory>

namespace ivyrill::program {

namespace {

namespace fs = std::filesystem;
using namespace access;

// The longest that a token may live by the operator's file: revocations are kept for as long.
constexpr Tenths kMostLife = Tenths{366} * 86'400 * kTenthsPerSecond;

// All options of all commands; each takes those that it knows.
struct Orders {
    std::string folder = "keys", name, algorithm, club, member, issuer = "ivyrill", audience = "ivyrill";
    std::string token, id, serial;
    std::vector<std::string> rights = {"read"}, own;
    std::int64_t lead_s = 0, overlap_s = 3600, ttl_s = 3600;
};

std::string public_path(const Orders& orders, const std::string& name) {
    return (fs::path(orders.folder) / (name + ".jwk")).string();
}
std::string private_path(const Orders& orders, const std::string& name) {
    return (fs::path(orders.folder) / "private" / (name + ".jwk")).string();
}
std::string revocations_path(const Orders& orders) {
    return (fs::path(orders.folder) / "revocations.json").string();
}

KeyRing read_ring(const fs::path& folder) {
    std::vector<NamedText> files;
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(folder, error))
        if (entry.path().extension() == ".jwk")
            files.push_back({entry.path().string(), read_file(entry.path())});
    return KeyRing::read(files, nullptr);
}

Revocations read_revocations(const Orders& orders) {
    const std::string path = revocations_path(orders);
    return fs::exists(path) ? Revocations::read({path, read_file(path)}) : Revocations{};
}

// What verifies with a shared secret can sign, so that file is secret too. The signer's part is written
// first: nobody is told of a key that nobody holds.
void keep(const Orders& orders, const Key& key) {
    if (key.signing.can_sign()) write_file(private_path(orders, key.name), write_key(key, true), true);
    write_file(public_path(orders, key.name), write_key(key, false),
               key.signing.algorithm() == Algorithm::kHs256);
}

// A change of times goes to both files.
void keep_times(const Orders& orders, const Key& key) {
    const std::string secret = private_path(orders, key.name);
    if (fs::exists(secret)) {
        Key held = read_key({secret, read_file(secret)});
        held.times = key.times;
        write_file(secret, write_key(held, true), true);
    }
    write_file(public_path(orders, key.name), write_key(key, false),
               key.signing.algorithm() == Algorithm::kHs256);
}

std::optional<Algorithm> wanted_algorithm(const Orders& orders) {
    if (orders.algorithm.empty()) return {};
    return algorithm_named(orders.algorithm);
}

int add_key(const Orders& orders, bool first) {
    const fs::path secret = fs::path(orders.folder) / "private";
    fs::create_directories(secret);
    fs::permissions(secret, fs::perms::owner_all);
    const KeyRing ring = read_ring(orders.folder);
    Rotation made = rotate(ring, orders.name, wanted_algorithm(orders), transport::Loop::wall(),
                           orders.lead_s * kTenthsPerSecond, orders.overlap_s * kTenthsPerSecond);
    if (first) made.changed.clear();
    if (ring.keys().size() + 1 > 64)
        throw AccessError("64 keys are held already: take away those that are gone");
    keep(orders, made.fresh);
    for (const Key& key : made.changed) keep_times(orders, key);
    std::cout << made.fresh.name << ": active in " << orders.lead_s << " s\n";
    for (const Key& key : made.changed)
        std::cout << key.name << ": outgoing then, gone " << orders.overlap_s << " s later\n";
    return 0;
}

int revoke(const Orders& orders) {
    const Tenths now = transport::Loop::wall() / kTenthsPerSecond * kTenthsPerSecond;
    if (!orders.name.empty()) {
        const std::string path = public_path(orders, orders.name);
        Key key = read_key({path, read_file(path)});
        key.times.gone = now, key.times.outgoing = std::min(key.times.outgoing, now);
        key.times.active = std::min(key.times.active, now),
        key.times.announced = std::min(key.times.announced, now);
        keep_times(orders, key);
        std::cout << key.name << ": gone\n";
    }
    Revocations held = read_revocations(orders);
    held.forget(now, 3600 * kTenthsPerSecond, kMostLife);
    const bool member = !orders.club.empty() || !orders.member.empty();
    if (member && (orders.club.empty() || orders.member.empty()))
        throw AccessError("a member needs --club and --member");
    // Tokens of this very second count as before: a new one must be signed in the next.
    if (member) held.members[orders.club + "/" + orders.member] = now + kTenthsPerSecond;
    if (!orders.id.empty()) held.tokens[orders.id] = now + orders.ttl_s * kTenthsPerSecond;
    if (!orders.serial.empty()) {
        std::string serial = orders.serial;
        std::erase(serial, ':');
        std::ranges::transform(serial, serial.begin(),
                               [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        serial.erase(0, std::min(serial.find_first_not_of('0'), serial.size() - 1));
        if (serial.find_first_not_of("0123456789abcdef") != std::string::npos)
            throw AccessError("a serial number is hexadecimal");
        held.certificates[serial] = now;
    }
    if (member || !orders.id.empty() || !orders.serial.empty())
        write_file(revocations_path(orders), held.write(), false), std::cout << "revoked\n";
    else if (orders.name.empty())
        throw AccessError("nothing to revoke: give --name, --club and --member, --id or --serial");
    return 0;
}

int list(const Orders& orders) {
    const Tenths now = transport::Loop::wall();
    const KeyRing ring = read_ring(orders.folder);
    for (const auto& [name, key] : ring.keys()) {
        std::cout << name << " " << name_of(key.signing.algorithm()) << " " << name_of(key.times.at(now));
        if (key.times.at(now) == KeyState::kAnnounced)
            std::cout << ", active in " << (key.times.active - now) / kTenthsPerSecond << " s";
        if (key.times.gone != kEver && key.times.gone > now)
            std::cout << ", gone in " << (key.times.gone - now) / kTenthsPerSecond << " s";
        std::cout << (fs::exists(private_path(orders, name)) ? "" : ", verifies only") << "\n";
    }
    const Revocations held = read_revocations(orders);
    std::cout << "revoked: " << held.tokens.size() << " tokens, " << held.members.size() << " members, "
              << held.certificates.size() << " certificates\n";
    return 0;
}

int sign(const Orders& orders) {
    const Tenths now = transport::Loop::wall();
    const KeyRing ring = read_ring(fs::path(orders.folder) / "private");
    const Key* key = orders.name.empty() ? ring.signer(now) : ring.find(orders.name);
    if (key == nullptr)
        throw AccessError(orders.name.empty() ? "no key here is active"
                                              : "no key is named '" + orders.name + "'");
    Claims claims;
    claims.issuer = orders.issuer, claims.audience = {orders.audience};
    claims.issued = now, claims.expires = now + orders.ttl_s * kTenthsPerSecond;
    claims.id = base64url(random_bytes(12));
    claims.caller = {orders.club, orders.member, {}, orders.own};
    claims.caller.rights.read = std::ranges::count(orders.rights, "read") > 0;
    claims.caller.rights.write_own = std::ranges::count(orders.rights, "write") > 0;
    std::cout << sign_token(claims, *key) << "\n";
    return 0;
}

int show(const Orders& orders) { // what it says; the signature is looked at where the key is known
    const TokenForm form = read_token(orders.token, 8192);
    if (const auto* reason = std::get_if<Reason>(&form)) {
        std::cout << name_of(*reason) << "\n";
        return 1;
    }
    const ReadToken& token = std::get<ReadToken>(form);
    const std::string_view bytes = token.signed_part;
    for (const std::string_view part : {bytes.substr(0, bytes.find('.')), bytes.substr(bytes.find('.') + 1)})
        std::cout << nlohmann::json::parse(*read_base64url(part)).dump(2) << "\n";
    const KeyRing ring = fs::exists(orders.folder) ? read_ring(orders.folder) : KeyRing{};
    const Key* key = ring.find(token.claims.key);
    const Tenths now = transport::Loop::wall();
    if (key == nullptr)
        std::cout << "signature: the key '" << token.claims.key << "' is not here\n";
    else
        std::cout << "signature: " << (proven(token, *key) ? "good" : "bad") << ", key "
                  << name_of(key->times.at(now)) << "\n";
    std::cout << (now >= token.claims.expires ? "expired\n" : "in time\n");
    return key != nullptr && proven(token, *key) && now < token.claims.expires ? 0 : 1;
}

} // namespace

void add_credential_commands(CLI::App& app, std::function<int()>& run) {
    const auto orders = std::make_shared<Orders>();
    const auto command = [&run, orders](CLI::App* group, const char* name, const char* words,
                                        int (*act)(const Orders&)) {
        auto* made = group->add_subcommand(name, words);
        made->add_option("--dir", orders->folder, "the key folder")->capture_default_str();
        made->callback([&run, orders, act] { run = [orders, act] { return act(*orders); }; });
        return made;
    };
    const auto algorithm = [orders](CLI::App* made, const char* words) {
        made->add_option("--alg", orders->algorithm, words)
            ->check(CLI::IsMember({"EdDSA", "ES256", "HS256"}));
    };
    auto* keys = app.add_subcommand("keys", "make, change and take back keys");
    keys->require_subcommand(1);
    auto* fresh = command(keys, "new", "make a key", [](const Orders& o) { return add_key(o, true); });
    auto* turn = command(keys, "rotate", "make a key that follows the active one",
                         [](const Orders& o) { return add_key(o, false); });
    for (auto* made : {fresh, turn}) {
        made->add_option("--name", orders->name, "the new key's name, never used before")->required();
        algorithm(made, "EdDSA (as the active key where there is one), ES256 or HS256");
        made->add_option("--active-in", orders->lead_s,
                         "seconds until it may sign: until all front nodes know it")
            ->check(CLI::Range(0, 30 * 86400));
    }
    turn->add_option("--overlap", orders->overlap_s, "seconds for which the old key verifies still")
        ->check(CLI::Range(0, 30 * 86400))
        ->capture_default_str();
    auto* take =
        command(keys, "revoke", "take back a key, a token, a member's tokens or a certificate", revoke);
    take->add_option("--name", orders->name, "the key");
    take->add_option("--club", orders->club, "the member's club");
    take->add_option("--member", orders->member, "the member: tokens from before now count no more");
    take->add_option("--id", orders->id, "a token's jti");
    take->add_option("--ttl", orders->ttl_s, "seconds until that token would expire")->capture_default_str();
    take->add_option("--serial", orders->serial, "a certificate's serial number, hexadecimal");
    command(keys, "list", "say which keys there are and in which state", list);

    auto* tokens = app.add_subcommand("token", "sign a token, or look into one");
    tokens->require_subcommand(1);
    auto* made = command(tokens, "sign", "sign a token with the active key", sign);
    made->add_option("--name", orders->name, "another key than the active one");
    made->add_option("--club", orders->club, "the member's club")->required();
    made->add_option("--member", orders->member, "the member")->required();
    made->add_option("--rights", orders->rights, "read, write")
        ->delimiter(',')
        ->check(CLI::IsMember({"read", "write"}));
    made->add_option("--own", orders->own, "keys of the member's notes; KEY* for all that begin so")
        ->delimiter(',');
    made->add_option("--ttl", orders->ttl_s, "seconds until it expires")
        ->check(CLI::Range(1, 366 * 86400))
        ->capture_default_str();
    made->add_option("--issuer", orders->issuer, "as in the operator's file")->capture_default_str();
    made->add_option("--audience", orders->audience, "as in the operator's file")->capture_default_str();
    auto* look = command(tokens, "show", "say what a token holds and whether it is good", show);
    look->add_option("token", orders->token, "the token")->required();
}

} // namespace ivyrill::program
