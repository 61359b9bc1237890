#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// One accepted submission, as later roots remember it.
struct SubmissionRecord
{
    std::uint64_t version = 0;
    std::string submission; ///< Random id of the submission.
    std::string submitter;  ///< Who submitted, as told by the command line.

    bool operator==(const SubmissionRecord &) const = default;
};

/// Parts that the version `version` was the first not to name.
struct RetiredParts
{
    std::uint64_t version = 0;
    std::vector<std::string> parts;

    bool operator==(const RetiredParts &) const = default;
};

/// The small root object of a configuration: it names the parts that hold the entries.
struct ConfigurationRoot
{
    std::uint64_t version = 0;
    std::string placementPolicy;
    std::vector<std::string> parts; ///< Names, see partName(); their number is a power of two.
    std::vector<SubmissionRecord> history; ///< Newest first, this version's own included.
    std::vector<RetiredParts> retired;     ///< Newest first; not yet removed from the store.

    bool operator==(const ConfigurationRoot &) const = default;

    /// The submission that made `version`, or null when that is too long ago.
    const SubmissionRecord *recordOf(std::uint64_t recordVersion) const;
};

/// The root as canonical JSON text.
std::string encodeRoot(const ConfigurationRoot &root);

/// The reverse. Throws Error "config.303" when the text is not a root.
ConfigurationRoot decodeRoot(const std::string &text);

/// Name of a part: the version that first names it and the hash of its content, such as
/// "17.0123456789abcdef0123456789abcdef". A part that a later root dropped is written under another
/// name when its content comes back, so that what was dropped can be removed safely.
std::string partName(std::uint64_t version, const std::string &content);

/// Whether `content` is what `name` says.
bool isPartContent(const std::string &name, const std::string &content);

/// The version in a part's name: a router that has that version or a later one in force has the
/// part, if it is still named. The highest number for a name of another form.
std::uint64_t partVersion(const std::string &name);

/// The hash in a part's name.
std::string partHash(const std::string &name);

} // namespace almondmill
