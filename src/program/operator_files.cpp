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

constexpr std::uintmax_t kMostFile = 16 * 1024 * 1024;

std::string beside(const fs::path& folder, const std::string& name) {
    return (fs::path(name).is_absolute() ? fs::path(name) : folder / name).string();
}

std::vector<access::NamedText> read_keys(const std::string& folder) {
    std::vector<std::string> paths;
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(folder, error))
        if (entry.path().extension() == ".jwk") paths.push_back(entry.path().string());
    if (error) throw std::runtime_error(folder + ": " + error.message());
    std::ranges::sort(paths);
    std::vector<access::NamedText> made;
    for (const std::string& path : paths) made.push_back({path, read_file(path)});
    return made;
}

} // namespace

std::string read_file(const std::string& path) {
    std::error_code error;
    const auto size = fs::file_size(path, error);
    if (error) throw std::runtime_error(path + ": " + error.message());
    if (size > kMostFile) throw std::runtime_error(path + ": larger than 16 MB");
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

LoadedSettings load_operator_files(const std::string& path, const access::Policy* before, Tenths wall,
                                   transport::TicketStore* tickets) {
    LoadedSettings made;
    made.orders = operators::read_operator_settings(evaluate(path));
    const fs::path folder = fs::path(path).parent_path();
    std::set<std::string> folders = {folder.empty() ? "." : folder.string()};
    const auto load = [&](const std::string& name) {
        const std::string found = beside(folder, name);
        const fs::path parent = fs::path(found).parent_path();
        folders.insert(parent.empty() ? "." : parent.string());
        return access::NamedText{found, read_file(found)};
    };
    if (const auto& access = made.orders.access) {
        access::AccessFiles files;
        if (!access->keys.empty()) {
            files.keys = read_keys(beside(folder, access->keys));
            folders.insert(beside(folder, access->keys));
        }
        if (!access->revocations.empty() && fs::exists(beside(folder, access->revocations)))
            files.revocations = load(access->revocations);
        for (const std::string& name : access->authorities) files.authorities.push_back(load(name));
        for (const std::string& name : access->crls) files.crls.push_back(load(name));
        made.policy = access::read_policy(access->terms, files, before, wall);
    }
    for (const operators::ListenerSettings& listener : made.orders.listeners) {
        if (listener.certificate.empty()) {
            made.tls.push_back(nullptr);
            continue;
        }
        transport::TlsTerms terms;
        terms.protocols = listener.protocols;
        terms.certificate = load(listener.certificate).text, terms.key = load(listener.key).text;
        terms.clients = listener.client_certificates, terms.tickets = tickets;
        try {
            made.tls.push_back(std::make_shared<const transport::TlsContext>(terms));
        } catch (const transport::TlsError& error) {
            throw std::runtime_error("listener '" + listener.name + "': " + error.what());
        }
    }
    if (const auto& members = made.orders.membership) made.secret = load(members->secret).text;
    if (auto& rota = made.orders.maintenance) {
        rota->ledger = beside(folder, rota->ledger);
        if (!rota->witness.empty()) rota->witness = beside(folder, rota->witness);
    }
    made.folders.assign(folders.begin(), folders.end());
    return made;
}

void check_names(const operators::OperatorSettings& orders, const std::vector<std::string>& request_classes,
                 const std::vector<std::string>& tenants) {
    if (!orders.access) return;
    const auto check = [](const std::string& name, const std::vector<std::string>& known, const char* what) {
        if (known.empty() || std::ranges::find(known, name) != known.end()) return;
        const std::string near = script::nearest(name, known);
        throw std::runtime_error(std::string("access: no ") + what + " of the settings is named '" + name +
                                 "'" + (near.empty() ? "" : "; did you mean '" + near + "'?"));
    };
    for (const auto& [club, tenant] : orders.access->terms.clubs) check(tenant, tenants, "tenant");
    for (const auto& [request_class, right] : orders.access->terms.request_classes)
        check(request_class, request_classes, "product");
}

void write_file(const std::string& path, const std::string& text, bool secret) {
    const std::string fresh = path + ".new";
    const auto fail = [&](const char* what) {
        throw std::runtime_error(fresh + ": " + what + ": " + std::strerror(errno));
    };
    unlink(fresh.c_str());
    const int file = open(fresh.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, secret ? 0600 : 0644);
    if (file < 0) fail("cannot be made");
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t count = write(file, text.data() + done, text.size() - done);
        if (count < 0) close(file), fail("cannot be written");
        done += static_cast<std::size_t>(count);
    }
    if (fsync(file) != 0) close(file), fail("cannot be kept");
    close(file);
    if (rename(fresh.c_str(), path.c_str()) != 0) fail("cannot be put in place");
    const fs::path folder = fs::path(path).parent_path();
    if (const int at = open(folder.empty() ? "." : folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        at >= 0)
        fsync(at), close(at);
}

} // namespace ivyrill::program
