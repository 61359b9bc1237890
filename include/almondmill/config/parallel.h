#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <thread>
#include <vector>

namespace almondmill {

/// Calls `work(item)` for every item on at most `threads` threads, including the calling thread,
/// and returns when all calls have completed. `work` must not throw.
template<typename Item, typename Work>
void forEachInParallel(const std::vector<Item> &items, std::size_t threads, const Work &work)
{
    std::atomic<std::size_t> next{0};
    const auto run = [&] {
        for (std::size_t index = next++; index < items.size(); index = next++)
            work(items[index]);
    };
    std::vector<std::thread> workers;
    for (std::size_t i = 1; i < std::min(threads, items.size()); ++i)
        workers.emplace_back(run);
    run();
    for (std::thread &worker : workers)
        worker.join();
}

} // namespace almondmill
