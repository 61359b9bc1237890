#pragma once

#include "almondmill/config/configurationroot.h"
#include "almondmill/store/updateresult.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace almondmill {

class ObjectStore;
struct Inventory;
struct Rules;
struct StoredRoot;

/// One attempt to store an inventory and rules as the successor of a root that was read before. The
/// root is updated by a single conditional call that is never retried.
class Submission
{
public:
    /// `base` is the current root, or null if there is none yet. A store version of 0 in it means
    /// that the root object does not exist.
    Submission(ObjectStore &store, std::chrono::milliseconds timeout, const StoredRoot *base,
               const std::string &submitter);

    /// Writes the new parts, deletes expired parts, and updates the root.
    UpdateResult run(const Inventory &inventory, const Rules &rules);

private:
    ConfigurationRoot nextRoot(const Rules &rules, const std::vector<std::string> &contents) const;
    std::string partNameFor(const std::string &content) const;
    bool isReferencedByBase(const std::string &name) const;
    UpdateResult writePart(const std::string &name, const std::string &content);
    std::vector<RetiredParts> removeExpired();
    bool removePart(const std::string &name);
    UpdateResult writeRoot(const ConfigurationRoot &root);
    UpdateResult readBack(const std::string &reason);

    ObjectStore &m_store;
    std::chrono::milliseconds m_timeout;
    const StoredRoot *m_base;
    std::string m_submitter;
    std::string m_id;
    std::uint64_t m_version;
};

} // namespace almondmill
