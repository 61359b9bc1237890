#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace almondmill {

class AnswerMemory;

/// The memory that one unfinished answer takes.
class AnswerReservation
{
public:
    /// `end` is called once when the answer has to end. It must free the answer's memory soon, and
    /// may be called while any answer is resized.
    AnswerReservation(std::shared_ptr<AnswerMemory> memory, std::string endpoint,
                      std::function<void()> end);
    ~AnswerReservation();
    AnswerReservation(const AnswerReservation &) = delete;
    AnswerReservation &operator=(const AnswerReservation &) = delete;

    /// Records the memory that the answer takes now.
    void resize(std::size_t bytes);

    std::size_t bytes() const { return m_bytes; }
    const std::string &endpoint() const { return m_endpoint; }
    bool isEnded() const { return m_isEnded; }

private:
    friend class AnswerMemory;

    void endAnswer();

    std::shared_ptr<AnswerMemory> m_memory;
    std::string m_endpoint; ///< Id of the endpoint that sends the answer.
    std::function<void()> m_end;
    std::size_t m_bytes = 0;
    bool m_isEnded = false;
};

} // namespace almondmill
