#pragma once

#include <chrono>

namespace almondmill {

struct EngineTraits;
struct KvCacheStore;

/// Share of the KV cache stores' links that saves may use; the rest is for fetches.
constexpr double SaveLinkRatio = 0.6;

/// Time for which a KV cache store has a part at least, if the engines save to it as much as they
/// may: until then its memory has not been filled once. A saved part is taken to be there for this
/// time, and is saved again afterwards.
std::chrono::milliseconds storeRetention(const KvCacheStore &store, const EngineTraits &engine);

} // namespace almondmill
