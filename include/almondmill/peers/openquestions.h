#pragma once

#include "almondmill/kernel/time.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondmill {

/// Questions to other routers that wait for an answer. A question is sent again when it isn't
/// answered in time, and ends without an answer after the last repetition. `Reply` is what the
/// asker learns from an answer. Must be used on the event loop only.
template<typename Reply>
class OpenQuestions
{
public:
    /// Sends a datagram to the router of that name.
    using Send = std::function<void(const std::string &router, std::string_view bytes)>;

    /// Writes the message at the time that it is sent.
    using Encode = std::function<std::string()>;

    /// Called with the reply, or without one when the router did not answer.
    using Done = std::function<void(std::optional<Reply>)>;

    /// Waits for the answer to a question and to its repetitions: a datagram may be lost, and a
    /// router with little processor time may answer late.
    static constexpr std::array<std::chrono::milliseconds, 3> Timeouts{
            std::chrono::milliseconds(30), std::chrono::milliseconds(30),
            std::chrono::milliseconds(40)};

    std::uint32_t nextId() { return ++m_lastId; }
    bool empty() const { return m_open.empty(); }

    void open(std::uint32_t id, std::string router, Encode encode, Done done, SteadyTime now,
              const Send &send)
    {
        // Before the entry is made, which an exception would leave behind. The reply comes through
        // the event loop, so that it finds the entry.
        send(router, encode());
        m_open[id] = {std::move(router), std::move(encode), std::move(done), 0,
                      now + Timeouts.front()};
    }

    /// Ends the question with that reply. Returns false when none waits for it.
    bool complete(std::uint32_t id, Reply reply)
    {
        const auto found = m_open.find(id);
        if (found == m_open.end())
            return false;
        const Done done = std::move(found->second.done);
        m_open.erase(found);
        done(std::move(reply));
        return true;
    }

    /// When the question is to be polled; empty when it has ended.
    std::optional<SteadyTime> dueAt(std::uint32_t id) const
    {
        const auto found = m_open.find(id);
        return found == m_open.end() ? std::nullopt : std::optional(found->second.dueAt);
    }

    /// Repeats or ends the question if it is due.
    void poll(std::uint32_t id, SteadyTime now, const Send &send)
    {
        const auto found = m_open.find(id);
        if (found == m_open.end() || now < found->second.dueAt)
            return;
        Question &question = found->second;
        if (++question.attempt < Timeouts.size()) {
            question.dueAt = now + Timeouts[question.attempt];
            send(question.router, question.encode());
            return;
        }
        const Done done = std::move(question.done);
        m_open.erase(found);
        done(std::nullopt);
    }

    /// Repeats or ends all questions that are due.
    void pollAll(SteadyTime now, const Send &send)
    {
        std::vector<std::uint32_t> due;
        for (const auto &[id, question] : m_open) {
            if (question.dueAt <= now)
                due.push_back(id);
        }
        for (const std::uint32_t id : due)
            poll(id, now, send);
    }

private:
    struct Question
    {
        std::string router;
        Encode encode;
        Done done;
        std::size_t attempt = 0;
        SteadyTime dueAt;
    };

    std::uint32_t m_lastId = 0;
    absl::flat_hash_map<std::uint32_t, Question> m_open; ///< By id.
};

} // namespace almondmill
