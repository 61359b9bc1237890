// Guards against one odd entry of another writer that hides the sound ones from routers, or ends
// them: very deeply nested, with a number that is too large, with bytes that are no text, with a
// port out of range, or under a name that is missing, no text or too long.

#include "standins/rietwerk/percentdecoding.h"
#include "support/forwardingprocess.h"
#include "support/listednames.h"
#include "support/processmemory.h"
#include "support/rawendpoint.h"

#include "almondmill/forward/platformadapter.h"
#include "almondmill/forward/socketaddress.h"
#include "almondmill/kernel/error.h"
#include "almondmill/kernel/jsonsanitizer.h"
#include "almondmill/kernel/steadynow.h"
#include "almondmill/store/asyncstore.h"

#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
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

std::string repeated(const std::string &text, int times)
{
    std::string all;
    for (int time = 0; time < times; ++time)
        all += text;
    return all;
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

/// Answers a call with the body that a function of the test finds for it.
class ScriptedPages
{
public:
    using BodyOf = std::function<std::string(const std::string &call)>;

    explicit ScriptedPages(const BodyOf &bodyOf)
        : m_endpoint([bodyOf](int socket, const std::string &call, unsigned) {
            const std::string body = bodyOf(call);
            RawEndpoint::write(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                       "Connection: close\r\nContent-Length: "
                                               + std::to_string(body.size()) + "\r\n\r\n" + body);
        })
    {}

    const std::string &address() const { return m_endpoint.address(); }

private:
    RawEndpoint m_endpoint;
};

template<typename Result>
using Call = std::function<boost::asio::awaitable<Result>(AsyncStore &)>;

/// The result of one call to a store that answers as `bodyOf` says.
template<typename Result>
Result callStore(const ScriptedPages::BodyOf &bodyOf, const Call<Result> &call)
{
    const ScriptedPages server(bodyOf);
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

/// The result of one call to a store that answers with `body`.
template<typename Result>
Result callStore(const std::string &body, const Call<Result> &call)
{
    return callStore<Result>([body](const std::string &) { return body; }, call);
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

/// Metadata of entries that can't be told by a name, or have no revision.
std::vector<std::string> oddMetadata()
{
    return {"{\"name\":\"desk-\xff\xfe\",\"revision\":7}",
            R"({"name":"\ud800","revision":7})",
            "{\"name\":\"\x01\",\"revision\":7}",
            R"({"name":"","revision":7})",
            R"({"name":17,"revision":7})",
            R"({"name":null,"revision":7})",
            R"({"revision":7})",
            R"({"name":"odd"})",
            R"({"name":"odd","revision":"7"})",
            R"({"name":"odd","revision":-7})",
            R"({"name":")" + std::string(100000, 'n') + R"(","revision":7})",
            R"("odd")",
            "[]"};
}

/// Items that are no objects of the store, or that have odd metadata.
std::vector<std::string> oddItems()
{
    std::vector<std::string> items{"17",     "null", R"("odd")",      "[]",
                                   "[[{}]]", "{}",   R"({"spec":{}})"};
    for (const std::string &metadata : oddMetadata())
        items.push_back(absl::StrCat(R"({"metadata":)", metadata, R"(,"spec":)", SoundEntry, "}"));
    return items;
}

/// The position that the call for a page of a list names, decoded; empty for the first page.
std::string positionIn(const std::string &call)
{
    constexpr std::string_view Field = "after=";
    const auto from = call.find(Field);
    if (from == std::string::npos)
        return {};
    const auto begin = from + Field.size();
    return standin::rietwerk::queryDecoded(
            std::string_view(call).substr(begin, call.find(' ', begin) - begin));
}

/// Answers with pages of one object each, in the order of the names' bytes.
ScriptedPages::BodyOf pagesOf(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    return [names](const std::string &call) {
        const auto next = std::upper_bound(names.begin(), names.end(), positionIn(call));
        const std::string item = next == names.end() ? "" : object(*next, SoundEntry);
        const bool hasMore = next != names.end() && next + 1 != names.end();
        return R"({"items":[)" + item + R"(],"more":)" + (hasMore ? "true" : "false")
               + R"(,"store_revision":9})";
    };
}

ListResult listOf(const ScriptedPages::BodyOf &bodyOf)
{
    return callStore<ListResult>(bodyOf, [](AsyncStore &store) {
        return store.list(ObjectKind::Registrations, Freshness::Current, soon());
    });
}

ListResult listOf(const std::string &body)
{
    return listOf([body](const std::string &) { return body; });
}

/// Limits of a router's process: those of a small VM.
constexpr ForwardingProcess::Limits RouterLimits{96, 1024};

/// What control may take of the memory of a VM.
constexpr std::size_t ControlBytes = 32000000;

constexpr int Renewals = 8;
constexpr std::chrono::milliseconds RenewalInterval{400};

/// Entries of about 1 MB, the most that the store takes, which are many times as large when they
/// are parsed.
ForwardingProcess::ForeignEntries largeEntries(int sequence)
{
    constexpr int Entries = 4;
    constexpr std::size_t Elements = 349000;
    const json spec{{"service", "desk"},
                    {"sequence", sequence},
                    {"slots", std::vector<json>(Elements, json::object())}};
    ForwardingProcess::ForeignEntries entries;
    for (int number = 0; number < Entries; ++number)
        entries.push_back({"old-" + std::to_string(number), spec});
    return entries;
}

} // namespace

// Guards against an item without a readable name or revision that makes a whole page unreadable.
TEST(OddEntries, AnItemThatIsNoObjectHidesNoOther)
{
    for (const std::string &odd : oddItems()) {
        const ListResult result = listOf(absl::StrCat(
                R"({"items":[)", odd, ",", object("a", SoundEntry), ",", odd, ",",
                object("z", SoundEntry), ",", odd, R"(],"more":false,"store_revision":9})"));
        EXPECT_EQ(listedNames(result), (std::vector<std::string>{"a", "z"})) << odd.substr(0, 300);
    }
}

// Guards against such an item among the changes, after which the same changes are read for ever.
TEST(OddEntries, AnItemThatIsNoObjectHidesNoOtherChange)
{
    for (const std::string &odd : oddItems()) {
        const std::string body =
                absl::StrCat(R"({"events":[{"object":)", odd, R"(,"deleted":true},)", odd,
                             R"(,{"object":)", object("z", SoundEntry), R"(},{"object":)",
                             object("z", SoundEntry), R"(,"deleted":false}],"store_revision":9})");
        const auto result = callStore<EventsResult>(body, [](AsyncStore &store) {
            return store.events(ObjectKind::Registrations, 7, std::chrono::milliseconds(10),
                                soon());
        });
        const auto *events = std::get_if<ObjectEvents>(&result);
        ASSERT_NE(events, nullptr) << odd.substr(0, 300);
        EXPECT_EQ(events->revision, 9U);
        ASSERT_EQ(events->events.size(), 1U) << odd.substr(0, 300);
        EXPECT_TRUE(isSound(events->events.front().object));
    }
}

// Guards against a list that ends at a page whose only object has a name that is no position.
TEST(OddEntries, AListGoesOnBehindANameThatCannotBeRead)
{
    const std::vector<std::string> sound{"a", "desk", "desk-1", "desk-2", "desks", "z"};
    const std::vector<std::string> unreadable{"desk-\xff\xfe", "desk-\xff\xfe\xff", "desk-2\xc3",
                                              "desk-" + std::string(100000, 'n'), "\xff"};
    for (const std::string &odd : unreadable) {
        std::vector<std::string> names = sound;
        names.push_back(odd);
        EXPECT_EQ(listedNames(listOf(pagesOf(names))), sound) << odd.substr(0, 300);
    }
    std::vector<std::string> all = sound;
    all.insert(all.end(), unreadable.begin(), unreadable.end());
    EXPECT_EQ(listedNames(listOf(pagesOf(all))), sound);
}

// Guards against a list that is read round in circles, or taken for whole, when the store goes on
// at no position.
TEST(OddEntries, AListThatDoesNotAdvanceEnds)
{
    const ListResult result =
            listOf(absl::StrCat(R"({"items":[)", object("a", SoundEntry), ",",
                                object("z", SoundEntry), R"(],"more":true,"store_revision":9})"));
    const auto *list = std::get_if<ObjectList>(&result);
    ASSERT_NE(list, nullptr);
    EXPECT_FALSE(list->isComplete);
    EXPECT_EQ(list->objects.front().name, "a");
}

// Guards against a name that ends the field of a request in which it is sent, or that is longer
// than a datagram to another router.
TEST(OddEntries, ANameThatIsNoIdNamesNoEndpoint)
{
    for (const std::string &name :
         {std::string("a desk"), std::string("a&desk"), std::string("a+desk"),
          std::string("a#desk"), std::string("a%desk"), std::string("a\r\nHold: 1"),
          std::string("a\u00e9"), std::string(), std::string(129, 'a')})
        EXPECT_FALSE(isSound({name, SoundEntry, 7})) << name;
    for (const std::string &name : {std::string("i-7f3a91c2"), std::string("desk-1.2"),
                                    std::string("10.0.0.1:8080"), std::string(128, 'a')})
        EXPECT_TRUE(isSound({name, SoundEntry, 7})) << name;
}

// Guards against a value of another writer that takes many times its length when it is parsed.
TEST(OddEntries, AValueThatIsTooLongIsNotKept)
{
    const std::string large = with("48", "[{}" + repeated(",{}", 300000) + "]");
    const ListResult result = listOf(
            absl::StrCat(R"({"items":[)", object("a", SoundEntry), ",", object("odd", large), ",",
                         object("z", SoundEntry), R"(],"more":false,"store_revision":9})"));
    const auto *list = std::get_if<ObjectList>(&result);
    ASSERT_NE(list, nullptr);
    ASSERT_EQ(list->objects.size(), 3U);
    EXPECT_TRUE(isSound(list->objects[0]));
    EXPECT_TRUE(list->objects[1].value.empty());
    EXPECT_TRUE(isSound(list->objects[2]));
}

// Guards against a router that is killed for its memory while other writers' entries are as large
// as the store takes them, when it starts beside them and when they are renewed.
TEST(StoreMemoryUnderAbuse, LargeEntriesTakeNoMoreThanControlMay)
{
    ForwardingProcess calm(RouterLimits);
    ASSERT_TRUE(calm.waitUntilServing());
    ForwardingProcess router(RouterLimits, largeEntries(0));
    ASSERT_TRUE(router.waitUntilServing());
    for (int sequence = 1; sequence <= Renewals; ++sequence) {
        router.put(largeEntries(sequence));
        std::this_thread::sleep_for(RenewalInterval);
    }
    EXPECT_FALSE(router.process().hasEnded());
    EXPECT_EQ(router.request(), 200);
    EXPECT_LE(peakMemoryOf(router.process().pid()),
              peakMemoryOf(calm.process().pid()) + ControlBytes);
}

// Guards against changes that are too large to be read and are asked for again and again.
TEST(OddEntries, ChangesThatAreTooLargeAreListedInstead)
{
    std::string body = R"({"events":[)";
    for (int event = 0; event < 5; ++event)
        absl::StrAppend(&body, R"({"deleted":false,"object":)",
                        object("odd", std::string(1000000, '1')), "},");
    body += R"({"deleted":false,"object":)" + object("z", SoundEntry) + R"(}],"store_revision":9})";
    const auto result = callStore<EventsResult>(body, [](AsyncStore &store) {
        return store.events(ObjectKind::Registrations, 7, std::chrono::milliseconds(10), soon());
    });
    EXPECT_TRUE(std::holds_alternative<HistoryGone>(result));
}

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

TEST(JsonSanitizer, MarksWhatCannotBeReadInAString)
{
    const auto marked = [](const std::string &text) {
        return sanitizeJson(text, UnreadableStrings::Marked);
    };
    const std::string mark(UnreadableMark);
    EXPECT_EQ(marked(SoundEntry), SoundEntry);
    EXPECT_EQ(marked("[\"a\xff\xfe"
                     "b\x01\"]"),
              "[\"a" + mark + "b\"]");
    EXPECT_EQ(marked(R"(["\ud800",1e999])"), "[\"" + mark + "\",null]");
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
