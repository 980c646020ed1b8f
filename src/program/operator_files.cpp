#include "program/operator_files.hpp"

#include "script/builtins.hpp"
#include "script/script.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>

namespace ivyrill::program {

namespace {

namespace fs = std::filesystem;

constexpr std::uintmax_t kMaxFileBytes = 16 * 1024 * 1024;

std::string resolve_path(const fs::path& folder, const std::string& name) {
    return (fs::path(name).is_absolute() ? fs::path(name) : folder / name).string();
}

std::vector<access::NamedText> read_keys(const std::string& folder) {
    std::vector<std::string> paths;
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(folder, error))
        if (entry.path().extension() == ".jwk") paths.push_back(entry.path().string());
    if (error) throw std::runtime_error(folder + ": " + error.message());
    std::ranges::sort(paths);
    std::vector<access::NamedText> result;
    for (const std::string& path : paths) result.push_back({path, read_file(path)});
    return result;
}

} // namespace

std::string read_file(const std::string& path) {
    std::error_code error;
    const auto size = fs::file_size(path, error);
    if (error) throw std::runtime_error(path + ": " + error.message());
    if (size > kMaxFileBytes) throw std::runtime_error(path + ": larger than 16 MB");
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) throw std::runtime_error(path + ": cannot be read");
    return text.str();
}

nlohmann::ordered_json evaluate(const std::string& path) {
    const fs::path folder = fs::path(path).parent_path();
    const auto read = [&](const std::string& name) { return read_file((folder / name).string()); };
    return script::run_script(fs::path(path).filename().string(), read).result;
}

LoadedSettings load_operator_files(const std::string& path, const access::Policy* previous, Ticks wall,
                                   transport::TicketStore* tickets) {
    LoadedSettings result;
    result.settings = operators::read_operator_settings(evaluate(path));
    const fs::path folder = fs::path(path).parent_path();
    std::set<std::string> folders = {folder.empty() ? "." : folder.string()};
    const auto load = [&](const std::string& name) {
        const std::string path_found = resolve_path(folder, name);
        const fs::path parent = fs::path(path_found).parent_path();
        folders.insert(parent.empty() ? "." : parent.string());
        return access::NamedText{path_found, read_file(path_found)};
    };
    if (const auto& access = result.settings.access) {
        access::AccessFiles files;
        if (!access->keys.empty()) {
            files.keys = read_keys(resolve_path(folder, access->keys));
            folders.insert(resolve_path(folder, access->keys));
        }
        if (!access->revocations.empty() && fs::exists(resolve_path(folder, access->revocations)))
            files.revocations = load(access->revocations);
        for (const std::string& name : access->authorities) files.authorities.push_back(load(name));
        for (const std::string& name : access->crls) files.crls.push_back(load(name));
        result.policy = access::read_policy(access->options, files, previous, wall);
    }
    for (const operators::ListenerSettings& listener : result.settings.listeners) {
        if (listener.certificate.empty()) {
            result.tls.push_back(nullptr);
            continue;
        }
        transport::TlsOptions tls_options;
        tls_options.protocols = listener.protocols;
        tls_options.certificate = load(listener.certificate).text, tls_options.key = load(listener.key).text;
        tls_options.clients = listener.client_certificates, tls_options.tickets = tickets;
        try {
            result.tls.push_back(std::make_shared<const transport::TlsContext>(tls_options));
        } catch (const transport::TlsError& error) {
            throw std::runtime_error("listener '" + listener.name + "': " + error.what());
        }
    }
    if (const auto& members = result.settings.membership) result.secret = load(members->secret).text;
    if (auto& maintenance = result.settings.maintenance) {
        maintenance->raft_store = resolve_path(folder, maintenance->raft_store);
        if (!maintenance->witness.empty()) maintenance->witness = resolve_path(folder, maintenance->witness);
    }
    result.folders.assign(folders.begin(), folders.end());
    return result;
}

void check_names(const operators::OperatorSettings& settings, const std::vector<std::string>& request_classes,
                 const std::vector<std::string>& tenants) {
    if (!settings.access) return;
    const auto require_known = [](const std::string& name, const std::vector<std::string>& allowed,
                                  const char* what) {
        if (allowed.empty() || std::ranges::find(allowed, name) != allowed.end()) return;
        const std::string nearest = script::nearest(name, allowed);
        throw std::runtime_error(std::string("access: the configuration has no ") + what + " named '" + name +
                                 "'" + (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    };
    for (const auto& [organization, tenant] : settings.access->options.clubs)
        require_known(tenant, tenants, "tenant");
    for (const auto& [request_class, right] : settings.access->options.request_classes)
        require_known(request_class, request_classes, "request class");
}

void write_file(const std::string& path, const std::string& text, bool secret) {
    const std::string temporary = path + ".new";
    const auto fail = [&](const char* what) {
        throw std::runtime_error(temporary + ": " + what + ": " + std::strerror(errno));
    };
    unlink(temporary.c_str());
    const int file = open(temporary.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, secret ? 0600 : 0644);
    if (file < 0) fail("cannot be created");
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t written_now = write(file, text.data() + written, text.size() - written);
        if (written_now < 0) close(file), fail("cannot be written");
        written += static_cast<std::size_t>(written_now);
    }
    if (fsync(file) != 0) close(file), fail("cannot be synced");
    close(file);
    if (rename(temporary.c_str(), path.c_str()) != 0) fail("cannot be renamed into place");
    const fs::path folder = fs::path(path).parent_path();
    if (const int at = open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        at >= 0)
        fsync(at), close(at);
}

} // namespace ivyrill::program
