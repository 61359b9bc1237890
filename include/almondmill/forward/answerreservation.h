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
    /// Whose answer it is.
    struct Origin
    {
        std::string endpoint; ///< Id of the endpoint that sends it.
        std::string request;  ///< Id of the request.
    };

    /// `end` is called once when the answer has to end. It must free the answer's memory soon, and
    /// may be called while any answer is resized.
    AnswerReservation(std::shared_ptr<AnswerMemory> memory, Origin origin,
                      std::function<void()> end);
    ~AnswerReservation();
    AnswerReservation(const AnswerReservation &) = delete;
    AnswerReservation &operator=(const AnswerReservation &) = delete;

    /// Records the memory that the answer takes now.
    void resize(std::size_t bytes);

    std::size_t bytes() const { return m_bytes; }
    const Origin &origin() const { return m_origin; }
    bool isEnded() const { return m_isEnded; }

private:
    friend class AnswerMemory;

    void endAnswer();

    std::shared_ptr<AnswerMemory> m_memory;
    Origin m_origin;
    std::function<void()> m_end;
    std::size_t m_bytes = 0;
    bool m_isEnded = false;
};

} // namespace almondmill
