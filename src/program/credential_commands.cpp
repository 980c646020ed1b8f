#include "program/credential_commands.hpp"

#include "access/authorizer.hpp"
#include "access/encoding.hpp"
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

// The operator's file limits tokens to this lifetime, so revocations are kept for as long.
constexpr Ticks kMaxTokenLife = Ticks{366} * 86'400 * kTicksPerSecond;

// The options of all commands; each uses a part.
struct Options {
    std::string folder = "keys", name, algorithm, club, member, issuer = "ivyrill", audience = "ivyrill";
    std::string token, id, serial;
    std::vector<std::string> rights = {"read"}, own;
    std::int64_t lead_s = 0, overlap_s = 3600, ttl_s = 3600;
};

std::string public_path(const Options& options, const std::string& name) {
    return (fs::path(options.folder) / (name + ".jwk")).string();
}
std::string private_path(const Options& options, const std::string& name) {
    return (fs::path(options.folder) / "private" / (name + ".jwk")).string();
}
std::string revocations_path(const Options& options) {
    return (fs::path(options.folder) / "revocations.json").string();
}

KeyRing read_ring(const fs::path& folder) {
    std::vector<NamedText> files;
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(folder, error))
        if (entry.path().extension() == ".jwk")
            files.push_back({entry.path().string(), read_file(entry.path())});
    return KeyRing::read(files, nullptr);
}

Revocations read_revocations(const Options& options) {
    const std::string path = revocations_path(options);
    return fs::exists(path) ? Revocations::read({path, read_file(path)}) : Revocations{};
}

// With a shared secret the verifier's file can sign as well, so it is secret too. The signer's file is
// written first, so that no key is published that nobody holds.
void store_key(const Options& options, const Key& key) {
    if (key.signing.can_sign()) write_file(private_path(options, key.name), write_key(key, true), true);
    write_file(public_path(options, key.name), write_key(key, false),
               key.signing.algorithm() == Algorithm::kHs256);
}

// Updates the times in both files.
void store_times(const Options& options, const Key& key) {
    const std::string secret = private_path(options, key.name);
    if (fs::exists(secret)) {
        Key stored = read_key({secret, read_file(secret)});
        stored.times = key.times;
        write_file(secret, write_key(stored, true), true);
    }
    write_file(public_path(options, key.name), write_key(key, false),
               key.signing.algorithm() == Algorithm::kHs256);
}

std::optional<Algorithm> selected_algorithm(const Options& options) {
    if (options.algorithm.empty()) return {};
    return algorithm_named(options.algorithm);
}

int add_key(const Options& options, bool first) {
    const fs::path secret = fs::path(options.folder) / "private";
    fs::create_directories(secret);
    fs::permissions(secret, fs::perms::owner_all);
    const KeyRing ring = read_ring(options.folder);
    Rotation rotation = rotate(ring, options.name, selected_algorithm(options), transport::Loop::wall(),
                               options.lead_s * kTicksPerSecond, options.overlap_s * kTicksPerSecond);
    if (first) rotation.changed_keys.clear();
    if (ring.keys().size() + 1 > 64)
        throw AccessError("the key folder has 64 keys already: remove those that are gone");
    store_key(options, rotation.new_key);
    for (const Key& key : rotation.changed_keys) store_times(options, key);
    std::cout << rotation.new_key.name << ": active in " << options.lead_s << " s\n";
    for (const Key& key : rotation.changed_keys)
        std::cout << key.name << ": outgoing then, gone " << options.overlap_s << " s later\n";
    return 0;
}

int revoke(const Options& options) {
    const Ticks now = transport::Loop::wall() / kTicksPerSecond * kTicksPerSecond;
    if (!options.name.empty()) {
        const std::string path = public_path(options, options.name);
        Key key = read_key({path, read_file(path)});
        key.times.gone = now, key.times.outgoing = std::min(key.times.outgoing, now);
        key.times.active = std::min(key.times.active, now),
        key.times.announced = std::min(key.times.announced, now);
        store_times(options, key);
        std::cout << key.name << ": gone\n";
    }
    Revocations revocations = read_revocations(options);
    revocations.remove_expired(now, 3600 * kTicksPerSecond, kMaxTokenLife);
    const bool member = !options.club.empty() || !options.member.empty();
    if (member && (options.club.empty() || options.member.empty()))
        throw AccessError("a member needs --club and --member");
    // Revokes tokens issued in the current second too: a new one must be signed in the next.
    if (member) revocations.members[options.club + "/" + options.member] = now + kTicksPerSecond;
    if (!options.id.empty()) revocations.tokens[options.id] = now + options.ttl_s * kTicksPerSecond;
    if (!options.serial.empty()) {
        std::string serial = options.serial;
        std::erase(serial, ':');
        std::ranges::transform(serial, serial.begin(),
                               [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        serial.erase(0, std::min(serial.find_first_not_of('0'), serial.size() - 1));
        if (serial.find_first_not_of("0123456789abcdef") != std::string::npos)
            throw AccessError("a serial number is hexadecimal");
        revocations.certificates[serial] = now;
    }
    if (member || !options.id.empty() || !options.serial.empty())
        write_file(revocations_path(options), revocations.write(), false), std::cout << "revoked\n";
    else if (options.name.empty())
        throw AccessError("nothing to revoke: give --name, --club and --member, --id or --serial");
    return 0;
}

int list(const Options& options) {
    const Ticks now = transport::Loop::wall();
    const KeyRing ring = read_ring(options.folder);
    for (const auto& [name, key] : ring.keys()) {
        std::cout << name << " " << name_of(key.signing.algorithm()) << " " << name_of(key.times.at(now));
        if (key.times.at(now) == KeyState::kAnnounced)
            std::cout << ", active in " << (key.times.active - now) / kTicksPerSecond << " s";
        if (key.times.gone != kNever && key.times.gone > now)
            std::cout << ", gone in " << (key.times.gone - now) / kTicksPerSecond << " s";
        std::cout << (fs::exists(private_path(options, name)) ? "" : ", verifies only") << "\n";
    }
    const Revocations revocations = read_revocations(options);
    std::cout << "revoked: " << revocations.tokens.size() << " tokens, " << revocations.members.size()
              << " members, " << revocations.certificates.size() << " certificates\n";
    return 0;
}

int sign(const Options& options) {
    const Ticks now = transport::Loop::wall();
    const KeyRing ring = read_ring(fs::path(options.folder) / "private");
    const Key* key = options.name.empty() ? ring.signer(now) : ring.find(options.name);
    if (key == nullptr)
        throw AccessError(options.name.empty() ? "the key folder has no active key"
                                               : "no key is named '" + options.name + "'");
    Claims claims;
    claims.issuer = options.issuer, claims.audience = {options.audience};
    claims.issued = now, claims.expires = now + options.ttl_s * kTicksPerSecond;
    claims.id = base64url(random_bytes(12));
    claims.caller = {options.club, options.member, {}, options.own};
    claims.caller.rights.read = std::ranges::count(options.rights, "read") > 0;
    claims.caller.rights.write_own = std::ranges::count(options.rights, "write") > 0;
    std::cout << sign_token(claims, *key) << "\n";
    return 0;
}

int show(const Options& options) { // verifies the signature where the key is known
    const TokenParseResult form = parse_token(options.token, 8192);
    if (const auto* reason = std::get_if<Reason>(&form)) {
        std::cout << name_of(*reason) << "\n";
        return 1;
    }
    const ParsedToken& token = std::get<ParsedToken>(form);
    const std::string_view bytes = token.signed_part;
    for (const std::string_view part : {bytes.substr(0, bytes.find('.')), bytes.substr(bytes.find('.') + 1)})
        std::cout << nlohmann::json::parse(*read_base64url(part)).dump(2) << "\n";
    const KeyRing ring = fs::exists(options.folder) ? read_ring(options.folder) : KeyRing{};
    const Key* key = ring.find(token.claims.key);
    const Ticks now = transport::Loop::wall();
    if (key == nullptr)
        std::cout << "signature: the key '" << token.claims.key << "' is not in the key folder\n";
    else
        std::cout << "signature: " << (has_valid_signature(token, *key) ? "good" : "bad") << ", key "
                  << name_of(key->times.at(now)) << "\n";
    std::cout << (now >= token.claims.expires ? "expired\n" : "not expired\n");
    return key != nullptr && has_valid_signature(token, *key) && now < token.claims.expires ? 0 : 1;
}

} // namespace

void add_credential_commands(CLI::App& app, std::function<int()>& run) {
    const auto options = std::make_shared<Options>();
    const auto command = [&run, options](CLI::App* group, const char* name, const char* description,
                                         int (*act)(const Options&)) {
        auto* subcommand = group->add_subcommand(name, description);
        subcommand->add_option("--dir", options->folder, "the key folder")->capture_default_str();
        subcommand->callback([&run, options, act] { run = [options, act] { return act(*options); }; });
        return subcommand;
    };
    const auto algorithm = [options](CLI::App* subcommand, const char* description) {
        subcommand->add_option("--alg", options->algorithm, description)
            ->check(CLI::IsMember({"EdDSA", "ES256", "HS256"}));
    };
    auto* keys = app.add_subcommand("keys", "create, rotate and revoke keys");
    keys->require_subcommand(1);
    auto* new_command =
        command(keys, "new", "create a key", [](const Options& o) { return add_key(o, true); });
    auto* rotate_command = command(keys, "rotate", "create a key that replaces the active one",
                                   [](const Options& o) { return add_key(o, false); });
    for (auto* subcommand : {new_command, rotate_command}) {
        subcommand->add_option("--name", options->name, "the new key's name, never used before")->required();
        algorithm(subcommand, "EdDSA (as the active key where there is one), ES256 or HS256");
        subcommand
            ->add_option("--active-in", options->lead_s,
                         "seconds until it may sign; all front nodes must know it by then")
            ->check(CLI::Range(0, 30 * 86400));
    }
    rotate_command
        ->add_option("--overlap", options->overlap_s, "seconds for which the old key still verifies")
        ->check(CLI::Range(0, 30 * 86400))
        ->capture_default_str();
    auto* revoke_command =
        command(keys, "revoke", "revoke a key, a token, a member's tokens or a certificate", revoke);
    revoke_command->add_option("--name", options->name, "the key");
    revoke_command->add_option("--club", options->club, "the member's club");
    revoke_command->add_option("--member", options->member,
                               "the member: its tokens issued until now become invalid");
    revoke_command->add_option("--id", options->id, "a token's jti");
    revoke_command->add_option("--ttl", options->ttl_s, "seconds until that token would expire")
        ->capture_default_str();
    revoke_command->add_option("--serial", options->serial, "a certificate's serial number, hexadecimal");
    command(keys, "list", "list the keys and their states", list);

    auto* tokens = app.add_subcommand("token", "sign or inspect a token");
    tokens->require_subcommand(1);
    auto* subcommand = command(tokens, "sign", "sign a token with the active key", sign);
    subcommand->add_option("--name", options->name, "another key than the active one");
    subcommand->add_option("--club", options->club, "the member's club")->required();
    subcommand->add_option("--member", options->member, "the member")->required();
    subcommand->add_option("--rights", options->rights, "read, write")
        ->delimiter(',')
        ->check(CLI::IsMember({"read", "write"}));
    subcommand->add_option("--own", options->own, "keys of the member's notes; KEY* for a prefix")
        ->delimiter(',');
    subcommand->add_option("--ttl", options->ttl_s, "seconds until it expires")
        ->check(CLI::Range(1, 366 * 86400))
        ->capture_default_str();
    subcommand->add_option("--issuer", options->issuer, "as in the operator's file")->capture_default_str();
    subcommand->add_option("--audience", options->audience, "as in the operator's file")
        ->capture_default_str();
    auto* show_command = command(tokens, "show", "print a token's content and whether it is valid", show);
    show_command->add_option("token", options->token, "the token")->required();
}

} // namespace ivyrill::program
