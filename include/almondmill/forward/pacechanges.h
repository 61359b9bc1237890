#pragma once

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace almondmill {

/// The incarnations whose pace has changed here and is to be sent to the other routers.
class PaceChanges
{
public:
    /// `listener` is called when the first change is added.
    void onAdded(std::function<void()> listener) { m_listener = std::move(listener); }

    void add(std::uint64_t incarnation);

    /// Takes up to `max` incarnations.
    std::vector<std::uint64_t> take(std::size_t max);

    /// The one that is taken first.
    std::optional<std::uint64_t> first() const;

    bool isEmpty() const { return m_incarnations.empty(); }

private:
    std::function<void()> m_listener;
    absl::flat_hash_set<std::uint64_t> m_incarnations;
};

} // namespace almondmill
