#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace almondmill {

/// Calls `work(item)` for every item, on at most `threads` threads, the caller's among them, and
/// waits for all. `work` must not throw.
template<typename Item, typename Work>
void forEachInParallel(const std::vector<Item> &items, std::size_t threads, const Work &work)
{
    std::atomic<std::size_t> next{0};
    const auto run = [&] {
        for (std::size_t index = next++; index < items.size(); index = next++)
            work(items[index]);
    };
    std::vector<std::thread> helpers;
    for (std::size_t i = 1; i < std::min(threads, items.size()); ++i)
        helpers.emplace_back(run);
    run();
    for (std::thread &helper : helpers)
        helper.join();
}

} // namespace almondmill
