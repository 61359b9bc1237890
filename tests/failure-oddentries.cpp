// Guards against one odd entry of another writer that hides the sound ones from routers, or ends
// them: very deeply nested, with a number that is too large, with bytes that are no text, or with a
// port out of range.

#include "support/rawendpoint.h"

#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/jsonsanitizer.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/store/asyncstore.h"

#include <nlohmann/json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace almondmill::test {

namespace {

using nlohmann::json;

constexpr std::size_t DeepNesting = 200000;

const std::string SoundEntry =
        R"({"service":"s1","address":"10.128.0.9:8080","zone":"lvn-a","version":"v1","slots":48,)"
        R"("state":"ready","cold_remaining_ms":0,"sequence":4,"born":1700000000000})";

/// The sound entry with another text in place of `before`.
std::string with(const std::string &before, const std::string &after)
{
    std::string text = SoundEntry;
    text.replace(text.find(before), before.size(), after);
    return text;
}

std::string nested()
{
    return with("48", std::string(DeepNesting, '[') + std::string(DeepNesting, ']'));
}

std::vector<std::string> oddEntries()
{
    return {nested(),
            with("\"v1\"", std::string(DeepNesting, '[') + std::string(DeepNesting, ']')),
            with("48", "1e999"),
            with("48", "-1e999"),
            with("48", std::string(400, '9')),
            with("48", "NaN"),
            with("48", "-Infinity"),
            with("\"s1\"", "1e999"),
            with("\"v1\"", "\"\\ud800\"").replace(2, 7, "servica"),
            with("\"s1\"", "5"),
            with("lvn-a", "\xff\xfe"),
            with("8080", "99999"),
            with("8080", "65536"),
            with("8080", "0"),
            "[]",
            "17"};
}

std::string object(const std::string &name, const std::string &spec)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":7},"spec":)" + spec + "}";
}

/// Answers every call with that body.
class FixedStore
{
public:
    explicit FixedStore(std::string body)
        : m_endpoint([body = std::move(body)](int socket, const std::string &, unsigned) {
            RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                       "Content-Length: "
                                               + std::to_string(body.size()) + "\r\n\r\n" + body);
        })
    {}

    const std::string &address() const { return m_endpoint.address(); }

private:
    RawEndpoint m_endpoint;
};

template<typename Result>
using Call = std::function<boost::asio::awaitable<Result>(AsyncStore &)>;

/// The result of one call to a store that answers with `body`.
template<typename Result>
Result callStore(const std::string &body, const Call<Result> &call)
{
    const FixedStore server(body);
    boost::asio::io_context loop;
    const auto store =
            PlatformAdapterRegistry::create("rietwerk")
                    ->makeStore(loop.get_executor(), parseSocketAddress(server.address()));
    std::optional<Result> result;
    const auto run = [&]() -> boost::asio::awaitable<void> {
        result = co_await call(*store);
        loop.stop();
    };
    boost::asio::co_spawn(loop, run, boost::asio::detached);
    loop.run_for(std::chrono::seconds(5));
    return result.value_or(Unavailable{"no answer"});
}

bool isSound(const StoredObject &object)
{
    try {
        PlatformAdapterRegistry::create("rietwerk")->decodeRegistration(object.name, object.value);
        return true;
    } catch (const Error &) {
        return false;
    }
}

SteadyTime soon()
{
    return steadyNow() + std::chrono::seconds(3);
}

} // namespace

TEST(OddEntries, OneInTheListOfEndpointsHidesNoOther)
{
    for (const std::string &odd : oddEntries()) {
        const std::string body = R"({"items":[)" + object("a", SoundEntry) + ","
                                 + object("odd", odd) + "," + object("z", SoundEntry)
                                 + R"(],"more":false,"store_revision":9})";
        const auto result = callStore<ListResult>(body, [](AsyncStore &store) {
            return store.list(ObjectKind::Registrations, Freshness::Current, soon());
        });
        const auto *list = std::get_if<ObjectList>(&result);
        ASSERT_NE(list, nullptr) << odd.substr(0, 300);
        ASSERT_EQ(list->objects.size(), 3U);
        EXPECT_TRUE(isSound(list->objects[0]));
        EXPECT_FALSE(isSound(list->objects[1])) << odd.substr(0, 300);
        EXPECT_TRUE(isSound(list->objects[2]));
    }
}

TEST(OddEntries, OneAmongTheChangesHidesNoOther)
{
    for (const std::string &odd : oddEntries()) {
        const std::string body = R"({"events":[{"object":)" + object("odd", odd)
                                 + R"(,"deleted":false},{"object":)" + object("z", SoundEntry)
                                 + R"(,"deleted":false}],"store_revision":9})";
        const auto result = callStore<EventsResult>(body, [](AsyncStore &store) {
            return store.events(ObjectKind::Registrations, 7, std::chrono::milliseconds(10),
                                soon());
        });
        const auto *events = std::get_if<ObjectEvents>(&result);
        ASSERT_NE(events, nullptr) << odd.substr(0, 300);
        ASSERT_EQ(events->events.size(), 2U);
        EXPECT_FALSE(isSound(events->events[0].object)) << odd.substr(0, 300);
        EXPECT_TRUE(isSound(events->events[1].object));
    }
}

TEST(JsonSanitizer, KeepsSoundTextAsItIs)
{
    for (const std::string text :
         {"{}", R"({"a":[1,-2.5e3,true,false,null,"x\"y\\z\u00e9é\ud83d\ude00"],"b":{"c":[]}})",
          "  [ 1 , 2 ]\n", "\"text\"", "0", ""})
        EXPECT_EQ(sanitizeJson(text), text);
    EXPECT_EQ(sanitizeJson(SoundEntry), SoundEntry);
}

TEST(JsonSanitizer, ReplacesWhatCannotBeRead)
{
    EXPECT_EQ(sanitizeJson("[1e999,2]"), "[null,2]");
    EXPECT_EQ(sanitizeJson("[NaN,-Infinity,1]"), "[null,null,1]");
    EXPECT_EQ(sanitizeJson("[\"\xff\"]"), "[null]");
    EXPECT_EQ(sanitizeJson("[\"a\nb\"]"), "[null]");
    EXPECT_EQ(sanitizeJson(R"(["\ud800","\udc00x","y"])"), R"([null,null,"y"])");
    EXPECT_EQ(sanitizeJson("{\"\xff\" : 1}"), "{\"?\" : 1}");
    const std::string deep = sanitizeJson(std::string(100, '[') + "1" + std::string(100, ']'));
    EXPECT_EQ(deep, std::string(MaxJsonDepth, '[') + "null" + std::string(MaxJsonDepth, ']'));
}

RC_GTEST_PROP(JsonSanitizerProperty, AnyTextIsReadToItsEnd, ())
{
    const auto text = *rc::gen::container<std::string>(
            rc::gen::element('{', '}', '[', ']', '"', '\\', 'u', 'd', '8', '-', 'e', '1', ',', ':',
                             ' ', '\xff', '\xc3', '\x01', 'N'));
    sanitizeJson(text);
    const json value = json::parse(sanitizeJson(text), nullptr, false);
    if (json::accept(text))
        RC_ASSERT(!value.is_discarded());
}

} // namespace almondmill::test
