// Durable storage of one value, with a file for each version: a version is written to a temporary file with a
// checksum, synced and renamed, then the folder is synced and older versions are removed. Loading returns the
// newest valid file. All calls block on the disk.
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
    // `kind` is the prefix of the file names, e.g. `state-00000000000000000012`. The folder must exist.
    VersionStore(std::string folder, std::string kind);
    // Returns the newest valid version, if any. Corrupt files are skipped; see corrupt_files().
    Result<std::optional<StoredVersion>> load();
    // Returns once the bytes survive a power failure. The number must be higher than any used before.
    Result<void> save(std::uint64_t number, const std::string& bytes);
    // The number of corrupt files newer than the version that `load` returned. A file is complete and synced
    // before it gets its name, so a power failure leaves none: the disk has lost data that was durable.
    std::size_t corrupt_files() const { return corrupt_files_; }
    std::uint64_t highest_number() const { return highest_; } // of any version on disk, corrupt or not

  private:
    std::string path_of(std::uint64_t number) const;
    Result<std::vector<std::uint64_t>> version_numbers() const; // of all files, the highest first
    Result<void> remove_older();

    std::string folder_, kind_;
    std::size_t corrupt_files_ = 0;
    std::uint64_t highest_ = 0;
};

} // namespace ivyrill::storage
