#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace almondmill {

/// Contents of configuration parts by name. Safe to use from several threads.
class PartCache
{
public:
    using Content = std::shared_ptr<const std::string>;

    /// The content, or null. Constant cost.
    Content find(const std::string &name) const;

    /// Names of all parts that are here.
    std::vector<std::string> names() const;

    /// Those of `names` that are not here.
    std::vector<std::string> missing(const std::vector<std::string> &names) const;

    /// Takes a part in. Returns false, and takes nothing, when the content is not what the name
    /// says.
    bool insert(const std::string &name, std::string content);

    /// Forgets every part but `names`.
    void retain(const std::vector<std::string> &names);

private:
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::string, Content> m_parts;
};

} // namespace almondmill
