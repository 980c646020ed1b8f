// One value on disk, one file for each version: written aside with a checksum, synced, renamed, folder
// synced; older versions are removed after that. Reading takes the newest file that is whole. Blocking: it
// runs on a thread of its own.
#pragma once
#include "base/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ivyrill::storage {

struct StoredVersion {
    std::uint64_t number = 0;
    std::string bytes;
};

class VersionStore {
  public:
    // `kind` begins the names of the files, e.g. `state-00000000000000000012`. The folder must exist.
    VersionStore(std::string folder, std::string kind);
    // The newest whole version, or none; files that are torn are passed over and named in the log by the
    // caller.
    Result<std::optional<StoredVersion>> load();
    // Returns once the bytes survive a loss of power. The number must be higher than any before.
    Result<void> save(std::uint64_t number, const std::string& bytes);
    // Files newer than the one that `load` returned, which can't be read. Each was whole and synced before it
    // got its name, so a loss of power leaves none: the disk has spoilt what was once durable.
    std::size_t corrupt_files() const { return torn_; }
    std::uint64_t highest_number() const { return highest_; } // that a file was named by

  private:
    std::string path_of(std::uint64_t number) const;
    Result<std::vector<std::uint64_t>> numbers() const; // of all files there, the highest first
    Result<void> remove_older();

    std::string folder_, kind_;
    std::size_t torn_ = 0;
    std::uint64_t highest_ = 0; // that a file was named by
};

} // namespace ivyrill::storage
