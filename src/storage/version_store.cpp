#include "storage/version_store.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <string_view>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

namespace ivyrill::storage {

namespace {

namespace fs = std::filesystem;

// File layout: magic, format number, version number, payload size, checksum of these three numbers and the
// payload, payload. Numbers have 8 bytes, in little-endian order.
constexpr std::string_view kMagic = "ivyrillV";
constexpr std::uint64_t kFormat = 1;
constexpr std::size_t kNumberSize = 8, kNumberCount = 4;
constexpr std::size_t kHeaderSize = 8 + kNumberCount * kNumberSize;
constexpr std::size_t kNumberDigits = 20;
constexpr std::size_t kFilesKept = 2;
constexpr std::string_view kTemporarySuffix = ".tmp";

// FNV-1a, 64 bits (Fowler, Noll, Vo).
std::uint64_t checksum(std::string_view bytes, std::uint64_t hash = 14695981039346656037ULL) {
    for (const char byte : bytes) hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
    return hash;
}

std::string encode_number(std::uint64_t number) {
    std::string out(kNumberSize, '\0');
    for (std::size_t i = 0; i < kNumberSize; ++i) out[i] = static_cast<char>(number >> (8 * i) & 0xFFU);
    return out;
}

std::uint64_t decode_number(std::string_view bytes) {
    std::uint64_t number = 0;
    for (std::size_t i = kNumberSize; i-- > 0;) number = number << 8U | static_cast<unsigned char>(bytes[i]);
    return number;
}

std::string encode_file(std::uint64_t number, std::string_view bytes) {
    const std::string numbers = encode_number(kFormat) + encode_number(number) + encode_number(bytes.size());
    std::string out(kMagic);
    out += numbers;
    out += encode_number(checksum(bytes, checksum(numbers)));
    out += bytes;
    return out;
}

enum class FileStatus : std::uint8_t { kValid, kCorrupt, kNewerFormat };

FileStatus decode_file(std::string_view file, std::uint64_t expected_number, std::string_view& bytes) {
    if (file.size() < kHeaderSize || !file.starts_with(kMagic)) return FileStatus::kCorrupt;
    const std::string_view numbers = file.substr(kMagic.size(), (kNumberCount - 1) * kNumberSize);
    const std::uint64_t format = decode_number(numbers);
    const std::uint64_t number = decode_number(numbers.substr(kNumberSize));
    const std::uint64_t size = decode_number(numbers.substr(2 * kNumberSize));
    bytes = file.substr(kHeaderSize);
    if (decode_number(file.substr(kHeaderSize - kNumberSize)) != checksum(bytes, checksum(numbers)))
        return FileStatus::kCorrupt;
    if (format > kFormat) return FileStatus::kNewerFormat; // all formats share this header
    if (format != kFormat || number != expected_number || size != bytes.size()) return FileStatus::kCorrupt;
    return FileStatus::kValid;
}

Error disk_error(std::string_view operation, const std::string& path) {
    const int code = errno;
    const char* remedy = code == ENOSPC || code == EDQUOT ? "free space on this disk"
                         : code == EACCES || code == EPERM || code == EROFS
                             ? "let this user write to the folder"
                             : "check the disk and that the folder exists";
    return error(ErrorKind::kStorage,
                 std::string(operation) + " " + path + " failed (" + std::strerror(code) + "): " + remedy);
}

class Descriptor {
  public:
    Descriptor(const std::string& path, int flags) : number_(::open(path.c_str(), flags | O_CLOEXEC, 0600)) {}
    ~Descriptor() {
        if (number_ >= 0) ::close(number_);
    }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int number() const { return number_; }
    int close() { return ::close(std::exchange(number_, -1)); }

  private:
    int number_;
};

template <class Call> auto retry_on_interrupt(Call call) {
    auto result = call();
    while (result < 0 && errno == EINTR) result = call();
    return result;
}

Result<void> write_durably(const std::string& path, std::string_view bytes) {
    Descriptor file(path, O_WRONLY | O_CREAT | O_TRUNC);
    if (file.number() < 0) return disk_error("creating", path);
    while (!bytes.empty()) {
        const auto written =
            retry_on_interrupt([&] { return ::write(file.number(), bytes.data(), bytes.size()); });
        if (written < 0) return disk_error("writing", path);
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    if (retry_on_interrupt([&] { return ::fsync(file.number()); }) != 0) return disk_error("syncing", path);
    if (file.close() != 0) return disk_error("closing", path);
    return boost::outcome_v2::success();
}

Result<void> sync_folder(const std::string& path) {
    const Descriptor folder(path, O_RDONLY | O_DIRECTORY);
    if (folder.number() < 0) return disk_error("opening", path);
    if (retry_on_interrupt([&] { return ::fsync(folder.number()); }) != 0) return disk_error("syncing", path);
    return boost::outcome_v2::success();
}

Result<std::string> read_file(const std::string& path) {
    const Descriptor file(path, O_RDONLY);
    if (file.number() < 0) return disk_error("opening", path);
    std::string bytes;
    std::array<char, 65536> buffer{};
    while (true) {
        const auto got =
            retry_on_interrupt([&] { return ::read(file.number(), buffer.data(), buffer.size()); });
        if (got < 0) return disk_error("reading", path);
        if (got == 0) return bytes;
        bytes.append(buffer.data(), static_cast<std::size_t>(got));
    }
}

Result<void> remove_file(const std::string& path) {
    if (::unlink(path.c_str()) != 0 && errno != ENOENT) return disk_error("removing", path);
    return boost::outcome_v2::success();
}

// The names of the files in the folder that start with `kind` and a hyphen.
Result<std::vector<std::string>> file_names(const std::string& folder, const std::string& kind) {
    std::vector<std::string> names;
    std::error_code failure;
    fs::directory_iterator at(folder, failure);
    for (; !failure && at != fs::directory_iterator(); at.increment(failure)) {
        std::string name = at->path().filename().string();
        if (name.starts_with(kind + "-")) names.push_back(std::move(name));
    }
    if (!failure) return names;
    errno = failure.value();
    return disk_error("listing", folder);
}

std::optional<std::uint64_t> parse_number(const std::string& name, const std::string& kind) {
    const std::string digits = name.substr(kind.size() + 1);
    if (digits.size() != kNumberDigits || digits.find_first_not_of("0123456789") != std::string::npos)
        return std::nullopt;
    errno = 0;
    const std::uint64_t number = std::strtoull(digits.c_str(), nullptr, 10);
    return errno == 0 ? std::optional(number) : std::nullopt;
}

} // namespace

VersionStore::VersionStore(std::string folder, std::string kind)
    : folder_(std::move(folder)), kind_(std::move(kind)) {}

std::string VersionStore::path_of(std::uint64_t number) const {
    const std::string digits = std::to_string(number);
    return folder_ + "/" + kind_ + "-" + std::string(kNumberDigits - digits.size(), '0') + digits;
}

Result<std::vector<std::uint64_t>> VersionStore::version_numbers() const {
    BOOST_OUTCOME_TRY(names, file_names(folder_, kind_));
    std::vector<std::uint64_t> found;
    for (const std::string& name : names)
        if (const auto number = parse_number(name, kind_)) found.push_back(*number);
    std::ranges::sort(found, std::greater{});
    return found;
}

Result<std::optional<StoredVersion>> VersionStore::load() {
    BOOST_OUTCOME_TRY(names, file_names(folder_, kind_));
    for (const std::string& name : names)
        if (name.ends_with(kTemporarySuffix)) { BOOST_OUTCOME_TRY(remove_file(folder_ + "/" + name)); }
    BOOST_OUTCOME_TRY(found, version_numbers());
    corrupt_files_ = 0;
    highest_ = found.empty() ? 0 : found.front();
    for (const std::uint64_t number : found) {
        BOOST_OUTCOME_TRY(file, read_file(path_of(number)));
        std::string_view bytes;
        switch (decode_file(file, number, bytes)) {
        case FileStatus::kValid:
            return StoredVersion{number, std::string(bytes)};
        case FileStatus::kNewerFormat:
            return error(ErrorKind::kStorage, path_of(number) +
                                                  " was written by a newer program: run that one, or empty "
                                                  "the folder to start as a new member");
        case FileStatus::kCorrupt:
            ++corrupt_files_;
        }
    }
    return std::optional<StoredVersion>();
}

Result<void> VersionStore::save(std::uint64_t number, const std::string& bytes) {
    if (number <= highest_)
        return error(ErrorKind::kInvalidInput, "version " + std::to_string(number) + " is not above " +
                                                   std::to_string(highest_) + ": number versions upwards");
    const std::string path = path_of(number), temporary = path + std::string(kTemporarySuffix);
    auto written = write_durably(temporary, encode_file(number, bytes));
    if (written.has_value() && ::rename(temporary.c_str(), path.c_str()) != 0)
        written = disk_error("renaming", temporary);
    if (!written.has_value()) {
        ::unlink(temporary.c_str()); // if this fails too, `load` removes it
        return written;
    }
    highest_ = number; // even if syncing the folder fails: the file name is in use
    BOOST_OUTCOME_TRY(sync_folder(folder_));
    return remove_older();
}

// Keeps the two newest files. Called only once the newest is durable.
Result<void> VersionStore::remove_older() {
    BOOST_OUTCOME_TRY(found, version_numbers());
    for (std::size_t i = kFilesKept; i < found.size(); ++i) {
        BOOST_OUTCOME_TRY(remove_file(path_of(found[i])));
    }
    return boost::outcome_v2::success();
}

} // namespace ivyrill::storage
