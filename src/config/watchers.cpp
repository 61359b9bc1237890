#include "almondmill/config/watchers.h"

#include "almondmill/kernel/hash.h"

#include <algorithm>

namespace almondmill {

namespace {

std::uint64_t rendezvousWeight(const std::string &router, const std::string &key)
{
    return hash64(router, hash64(key));
}

/// The watcher that `member` is assigned to by rendezvous hashing, or an empty string if there are
/// no watchers.
std::string watcherFor(const std::string &member, const std::vector<std::string> &watchers)
{
    const auto best = std::max_element(
            watchers.begin(), watchers.end(), [&](const std::string &a, const std::string &b) {
                return rendezvousWeight(a, member) < rendezvousWeight(b, member);
            });
    return best == watchers.end() ? std::string() : *best;
}

} // namespace

std::vector<std::string> watchersOf(const std::string &dataCentre,
                                    const std::vector<Member> &members)
{
    std::vector<std::string> addresses;
    for (const Member &member : members) {
        if (member.dataCentre == dataCentre && !member.leaving)
            addresses.push_back(member.address);
    }
    const std::size_t count = std::min(WatchersPerDataCentre, addresses.size());
    const auto end = addresses.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(addresses.begin(), end, addresses.end(),
                      [&](const std::string &a, const std::string &b) {
                          return rendezvousWeight(a, dataCentre) > rendezvousWeight(b, dataCentre);
                      });
    addresses.resize(count);
    return addresses;
}

std::vector<Member> pushTargets(const std::string &self, const std::string &dataCentre,
                                const std::vector<Member> &members)
{
    const auto watchers = watchersOf(dataCentre, members);
    std::vector<Member> targets;
    for (const Member &member : members) {
        const bool watches =
                std::find(watchers.begin(), watchers.end(), member.address) != watchers.end();
        if (member.dataCentre == dataCentre && !watches
            && watcherFor(member.address, watchers) == self)
            targets.push_back(member);
    }
    return targets;
}

} // namespace almondmill
