#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace almondmill {

/// Cache of configuration parts by name. Thread-safe.
class PartCache
{
public:
    using Content = std::shared_ptr<const std::string>;

    /// Returns the content of the part, or null if it is not cached. Constant time.
    Content find(const std::string &name) const;

    /// Names of all cached parts.
    std::vector<std::string> names() const;

    /// Returns those of `names` that are not cached.
    std::vector<std::string> missing(const std::vector<std::string> &names) const;

    /// Adds a part. Returns false and leaves the cache unchanged if the hash in `name` does not
    /// match `content`.
    bool insert(const std::string &name, std::string content);

    /// Evicts all parts except those in `names`.
    void retain(const std::vector<std::string> &names);

private:
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::string, Content> m_parts;
};

} // namespace almondmill
