#include "almondmill/claims/claimsweeper.h"

#include "almondmill/claims/claimcodec.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/log.h"
#include "almondmill/store/objectstore.h"

namespace almondmill {

namespace {

std::string shardPrefix(unsigned shard)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::string prefix = ClaimPrefix;
    for (const unsigned shift : {8U, 4U, 0U})
        prefix += Digits[(shard >> shift) & 0x0fU];
    return prefix;
}

bool isExpired(const StoredObject &object, WallTime now)
{
    try {
        const WallTime created = decodeClaim(object.value).created;
        return now - created > ClaimSweeper::KeyRetention + ClaimSweeper::ClockSkewMargin;
    } catch (const Error &error) {
        log(LogLevel::Error, "claims", "Not removing " + object.name + ": " + error.what());
        return false;
    }
}

} // namespace

ClaimSweeper::ClaimSweeper(ObjectStore &store, std::chrono::milliseconds timeout)
    : m_store(store)
    , m_timeout(timeout)
{}

SweepStep ClaimSweeper::sweep(unsigned shard, WallTime now)
{
    SweepStep step;
    const ListResult listed = m_store.list(shardPrefix(shard), m_timeout);
    ++step.calls;
    const auto *list = std::get_if<ObjectList>(&listed);
    if (!list)
        return step;
    for (const StoredObject &object : list->objects) {
        if (!isExpired(object, now))
            continue;
        if (step.removed == MaxRemovalsPerStep)
            return step;
        const UpdateResult result = m_store.remove(object.name, object.version, m_timeout);
        ++step.calls;
        if (!std::holds_alternative<Applied>(result))
            return step;
        ++step.removed;
    }
    step.complete = true;
    return step;
}

} // namespace almondmill
