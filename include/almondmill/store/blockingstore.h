#pragma once

#include "almondmill/store/conditionalstore.h"

#include <boost/asio/io_context.hpp>

namespace almondmill {

class AsyncStore;
enum class ObjectKind;

/// Objects of one kind in the event loop's store, for threads that wait for their calls. Not to be
/// called on the loop's own thread.
class BlockingStore : public ConditionalStore
{
public:
    BlockingStore(boost::asio::io_context &loop, AsyncStore &store, ObjectKind kind);

    ReadResult read(const std::string &name, std::chrono::milliseconds timeout) override;
    UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                std::chrono::milliseconds timeout) override;
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion, std::chrono::milliseconds timeout) override;

private:
    boost::asio::io_context &m_loop;
    AsyncStore &m_store;
    ObjectKind m_kind;
};

} // namespace almondmill
