#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

/// One accepted submission, as recorded in the history of its root and of later ones.
struct SubmissionRecord
{
    std::uint64_t version = 0;
    std::string submission; ///< Random id of the submission.
    std::string submitter;  ///< Name of the submitter, as passed by the command line.

    bool operator==(const SubmissionRecord &) const = default;
};

/// Parts that the previous version referenced and `version` no longer references.
struct RetiredParts
{
    std::uint64_t version = 0;
    std::vector<std::string> parts;

    bool operator==(const RetiredParts &) const = default;
};

/// The root object of a configuration. It is small and references the parts that hold the entries.
struct ConfigurationRoot
{
    std::uint64_t version = 0;
    std::string placementPolicy;
    std::vector<std::string> parts; ///< Part names, see partName(); their number is a power of two.
    std::vector<SubmissionRecord> history; ///< Newest first, starting with this version.
    std::vector<RetiredParts> retired;     ///< Newest first; parts not yet deleted from the store.

    bool operator==(const ConfigurationRoot &) const = default;

    /// The record of the submission that created `recordVersion`, or null if it is no longer in the
    /// history.
    const SubmissionRecord *recordOf(std::uint64_t recordVersion) const;
};

/// Encodes the root as canonical JSON.
std::string encodeRoot(const ConfigurationRoot &root);

/// Decodes the output of encodeRoot(). Throws Error "config.303" if `text` is not a valid root.
ConfigurationRoot decodeRoot(const std::string &text);

/// Name of a part: the first version that references it and the hash of its content, such as
/// "17.0123456789abcdef0123456789abcdef". If a content is dropped and used again later, it is
/// stored under a new name because of the version, so that deleting a dropped part is always safe.
std::string partName(std::uint64_t version, const std::string &content);

/// Whether the hash in `name` matches `content`.
bool isPartContent(const std::string &name, const std::string &content);

/// The version in a part's name, or UINT64_MAX if the name is malformed. A router that has this or
/// a later version in force holds the part as long as its version still references it.
std::uint64_t partVersion(const std::string &name);

/// The hash in a part's name.
std::string partHash(const std::string &name);

} // namespace almondmill
