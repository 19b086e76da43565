#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "plantaintiller/cli/option_set.h"
#include "plantaintiller/core/configuration.h"
#include "plantaintiller/core/error.h"

namespace plantaintiller::cli {

/// The required option `--platform` of commands that show or change the
/// published configuration.
option PlatformOption();

/// Reads a whole file. @return kNotFound if it cannot be read.
core::result<std::string> ReadFile(const std::string& path);

/// Reads the published configuration; version 0 if there is none yet.
core::result<core::configuration> ReadPublished(const address& platform);

/// Reads a published version from the object store.
/// @return nullopt if the object store has no copy of that version.
core::result<std::optional<core::configuration>> ReadStoredVersion(
    const address& platform,
    std::uint64_t version);

/// Publishes a configuration if `base_version` is still the newest version, and
/// stores a copy in the object store.
/// @return the new version, or kConflict with the differences from the version
/// that was published first.
core::result<std::uint64_t> Publish(const address& platform,
                                    const core::configuration& configuration,
                                    std::uint64_t base_version);

/// Prints an error to standard error. @return the exit status.
int PrintError(const core::error& problem);

}  // namespace plantaintiller::cli
