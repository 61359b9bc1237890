// Guards against entries of other writers whose names hide the sound entries of the store from
// routers, above all from those that start.

#include "support/forwardingprocess.h"
#include "support/listednames.h"
#include "support/storeclienttest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace almondmill::test {

namespace {

using nlohmann::json;

constexpr const char *RegistrationKind = "servers";

/// Limits of the router's process.
constexpr std::uint32_t MemoryMb = 96;
constexpr std::uint32_t Descriptors = 1024;

/// Names with characters that have a meaning in a request target, in the order of a list.
std::vector<std::string> namesWithReservedCharacters()
{
    std::vector<std::string> names{"a desk",    "a\"desk", "a#desk",      "a%41desk", "a%desk",
                                   "a&after=z", "a&desk",  "a+desk",      "a/desk",   "a=desk",
                                   "a?desk",    "a\\desk", "a\u00e9desk", "sound"};
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace

class OddNames : public StoreClientTest
{
protected:
    void put(const std::string &kind, const std::string &name)
    {
        server.store().put(kind, name, {{"x", 1}}, std::chrono::steady_clock::now());
    }
};

// Guards against a list that ends, or goes on at another place, after a page whose last name has
// characters with a meaning in a request target.
TEST_F(OddNames, ReservedCharactersEndNoList)
{
    const std::vector<std::string> names = namesWithReservedCharacters();
    for (const std::string &name : names)
        put(RegistrationKind, name);
    for (const std::size_t pageSize : {1U, 2U, 3U}) {
        server.setPageSize(pageSize);
        for (const Freshness freshness : {Freshness::Current, Freshness::MayBeStale})
            EXPECT_EQ(listedNames(
                              wait(client->list(ObjectKind::Registrations, freshness, deadline()))),
                      names);
    }
}

// Guards against calls for one object that reach another one, or none, because of its name.
TEST_F(OddNames, ReservedCharactersNameOneObject)
{
    for (const std::string &name : namesWithReservedCharacters()) {
        SCOPED_TRACE(name);
        const auto created =
                wait(client->create(ObjectKind::Leases, name, R"({"x":1})", deadline()));
        ASSERT_TRUE(std::holds_alternative<Applied>(created));
        const auto updated = wait(client->update(ObjectKind::Leases, name, R"({"x":2})",
                                                 std::get<Applied>(created).version, deadline()));
        EXPECT_TRUE(std::holds_alternative<Applied>(updated));
        const auto read =
                wait(client->read(ObjectKind::Leases, name, Freshness::MayBeStale, deadline()));
        ASSERT_TRUE(std::holds_alternative<StoredObject>(read));
        EXPECT_EQ(std::get<StoredObject>(read).name, name);
        EXPECT_EQ(std::get<StoredObject>(read).value, R"({"x":2})");
    }
}

// Guards against a router that starts beside such an entry and serves nothing while it is there.
TEST(OddNamesProcess, ARouterThatStartsServesBesideSuchEntries)
{
    ForwardingProcess::ForeignEntries entries;
    for (const std::string &name : namesWithReservedCharacters())
        entries.push_back({name, json{{"service", "desk"}, {"state", "ready"}, {"slots", "many"}}});
    ForwardingProcess router({MemoryMb, Descriptors}, entries);
    EXPECT_TRUE(router.waitUntilServing());
}

} // namespace almondmill::test
