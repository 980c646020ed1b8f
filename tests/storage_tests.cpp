// VersionStore: saving and loading versions, and recovery from truncated, corrupt and foreign files.
#define BOOST_TEST_MODULE storage
#include "storage/version_store.hpp"

#include <boost/test/included/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <sys/resource.h>

namespace {

using namespace ivyrill;
using namespace ivyrill::storage;
namespace fs = std::filesystem;

// A temporary folder, removed by the destructor.
class Folder {
  public:
    Folder() {
        std::string name = (fs::temp_directory_path() / "ivyrill-storage-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()));
        path_ = name;
    }
    ~Folder() { fs::remove_all(path_); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    std::string path() const { return path_.string(); }
    std::string file(const std::string& name) const { return (path_ / name).string(); }
    std::set<std::string> names() const {
        std::set<std::string> found;
        for (const auto& entry : fs::directory_iterator(path_))
            found.insert(entry.path().filename().string());
        return found;
    }

  private:
    fs::path path_;
};

std::string name_of(std::uint64_t number) {
    const std::string digits = std::to_string(number);
    return "state-" + std::string(20 - digits.size(), '0') + digits;
}

std::string read(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

void write(const std::string& path, const std::string& bytes) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

void check_loads(const Folder& folder, std::uint64_t number, const std::string& bytes,
                 std::size_t corrupt_files) {
    VersionStore store(folder.path(), "state");
    const auto loaded = store.load();
    BOOST_REQUIRE(loaded.has_value());
    BOOST_REQUIRE(loaded.value().has_value());
    BOOST_TEST(loaded.value()->number == number);
    BOOST_TEST(loaded.value()->bytes == bytes);
    BOOST_TEST(store.corrupt_files() == corrupt_files);
}

// Saves versions 1 and 2.
void fill(const Folder& folder) {
    VersionStore store(folder.path(), "state");
    BOOST_REQUIRE(store.save(1, "one").has_value());
    BOOST_REQUIRE(store.save(2, std::string("two\0and more", 12)).has_value());
}

} // namespace

BOOST_AUTO_TEST_CASE(an_empty_folder_holds_no_version) {
    const Folder folder;
    VersionStore store(folder.path(), "state");
    const auto loaded = store.load();
    BOOST_REQUIRE(loaded.has_value());
    BOOST_TEST(!loaded.value().has_value());
}

BOOST_AUTO_TEST_CASE(the_newest_version_is_loaded) {
    const Folder folder;
    fill(folder);
    check_loads(folder, 2, std::string("two\0and more", 12), 0);
}

BOOST_AUTO_TEST_CASE(the_newest_two_files_are_kept) {
    const Folder folder;
    fill(folder);
    VersionStore store(folder.path(), "state");
    BOOST_REQUIRE(store.load().has_value());
    BOOST_REQUIRE(store.save(9, "nine").has_value());
    BOOST_TEST((folder.names() == std::set{name_of(2), name_of(9)}));
    BOOST_REQUIRE(store.save(10, "").has_value());
    BOOST_TEST((folder.names() == std::set{name_of(9), name_of(10)}));
    check_loads(folder, 10, "", 0);
}

BOOST_AUTO_TEST_CASE(a_truncated_file_is_skipped) {
    const Folder folder;
    fill(folder);
    const std::string whole = read(folder.file(name_of(2)));
    for (std::size_t kept = 0; kept < whole.size(); ++kept) {
        write(folder.file(name_of(2)), whole.substr(0, kept));
        check_loads(folder, 1, "one", 1);
    }
    write(folder.file(name_of(2)), whole + "x");
    check_loads(folder, 1, "one", 1);
}

BOOST_AUTO_TEST_CASE(a_file_with_a_corrupt_byte_is_skipped) {
    const Folder folder;
    fill(folder);
    const std::string whole = read(folder.file(name_of(2)));
    for (std::size_t at = 0; at < whole.size(); ++at) {
        std::string corrupt = whole;
        corrupt[at] = static_cast<char>(corrupt[at] ^ 0x10);
        write(folder.file(name_of(2)), corrupt);
        check_loads(folder, 1, "one", 1);
    }
}

BOOST_AUTO_TEST_CASE(a_file_with_the_name_of_another_version_is_skipped) {
    const Folder folder;
    fill(folder);
    fs::copy_file(folder.file(name_of(1)), folder.file(name_of(7)));
    check_loads(folder, 2, std::string("two\0and more", 12), 1);
}

BOOST_AUTO_TEST_CASE(the_number_of_a_corrupt_file_is_not_reused) {
    const Folder folder;
    fill(folder);
    write(folder.file(name_of(3)), "torn");
    VersionStore store(folder.path(), "state");
    BOOST_REQUIRE(store.load().has_value());
    const auto saved = store.save(3, "three");
    BOOST_REQUIRE(!saved.has_value());
    BOOST_TEST((saved.error().kind == ErrorKind::kInvalidInput));
    BOOST_TEST(store.save(4, "four").has_value());
    check_loads(folder, 4, "four", 0);
}

BOOST_AUTO_TEST_CASE(a_temporary_file_is_removed_and_never_loaded) {
    const Folder folder;
    fill(folder);
    fs::copy_file(folder.file(name_of(2)), folder.file(name_of(3) + ".tmp"));
    check_loads(folder, 2, std::string("two\0and more", 12), 0);
    BOOST_TEST((folder.names() == std::set{name_of(1), name_of(2)}));
}

BOOST_AUTO_TEST_CASE(files_of_another_kind_are_not_touched) {
    const Folder folder;
    fill(folder);
    write(folder.file("other-00000000000000000009"), "x");
    write(folder.file("state-notes"), "x");
    check_loads(folder, 2, std::string("two\0and more", 12), 0);
    BOOST_TEST(folder.names().size() == 4);
}

BOOST_AUTO_TEST_CASE(the_error_for_a_missing_folder_names_it) {
    const Folder folder;
    VersionStore store(folder.file("missing"), "state");
    const auto loaded = store.load();
    BOOST_REQUIRE(!loaded.has_value());
    BOOST_TEST((loaded.error().kind == ErrorKind::kStorage));
    BOOST_TEST(loaded.error().message.find("missing") != std::string::npos);
    const auto saved = store.save(1, "x");
    BOOST_REQUIRE(!saved.has_value());
    BOOST_TEST((saved.error().kind == ErrorKind::kStorage));
}

BOOST_AUTO_TEST_CASE(a_file_of_a_newer_format_is_refused_with_a_remedy) {
    const Folder folder;
    fill(folder);
    // Format 2 with a valid checksum (FNV-1a, 64 bits, over the numbers and the payload).
    std::string file = read(folder.file(name_of(2)));
    file[8] = 2;
    std::uint64_t sum = 14695981039346656037ULL;
    for (std::size_t at = 8; at < file.size(); ++at)
        if (at < 32 || at >= 40) sum = (sum ^ static_cast<unsigned char>(file[at])) * 1099511628211ULL;
    for (std::size_t i = 0; i < 8; ++i) file[32 + i] = static_cast<char>(sum >> (8 * i) & 0xFFU);
    write(folder.file(name_of(2)), file);
    VersionStore store(folder.path(), "state");
    const auto loaded = store.load();
    BOOST_REQUIRE(!loaded.has_value());
    BOOST_TEST((loaded.error().kind == ErrorKind::kStorage));
    BOOST_TEST(loaded.error().message.find("newer program") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_failed_write_leaves_the_older_versions_and_no_temporary_file) {
    const Folder folder;
    fill(folder);
    VersionStore store(folder.path(), "state");
    BOOST_REQUIRE(store.load().has_value());
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    const rlimit small{1000, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small); // acts like a full disk: a short write, then an error
    const auto saved = store.save(3, std::string(5000, 'x'));
    setrlimit(RLIMIT_FSIZE, &before);
    BOOST_REQUIRE(!saved.has_value());
    BOOST_TEST((saved.error().kind == ErrorKind::kStorage));
    BOOST_TEST((folder.names() == std::set{name_of(1), name_of(2)}));
    BOOST_TEST(store.save(3, "three").has_value());
    check_loads(folder, 3, "three", 0);
}

BOOST_AUTO_TEST_CASE(a_full_disk_is_a_storage_error) {
    if (!fs::exists("/dev/full")) return;
    const Folder folder;
    fill(folder);
    fs::create_symlink("/dev/full", folder.file(name_of(3) + ".tmp")); // every write to it fails with ENOSPC
    VersionStore store(folder.path(), "state");
    const auto saved = store.save(3, "three");
    BOOST_REQUIRE(!saved.has_value());
    BOOST_TEST((saved.error().kind == ErrorKind::kStorage));
    BOOST_TEST(saved.error().message.find("free space") != std::string::npos);
    BOOST_TEST((folder.names() == std::set{name_of(1), name_of(2)}));
}
