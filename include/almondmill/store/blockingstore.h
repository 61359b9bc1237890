#pragma once

#include "almondmill/store/conditionalstore.h"

#include <boost/asio/io_context.hpp>

namespace almondmill {

class AsyncStore;
enum class Freshness;
enum class ObjectKind;

/// Blocking access to the objects of one kind in an AsyncStore, for threads other than the event
/// loop's: a call on the event loop's thread would block the loop that has to complete it.
class BlockingStore : public ConditionalStore
{
public:
    BlockingStore(boost::asio::io_context &loop, AsyncStore &store, ObjectKind kind,
                  Freshness freshness);

    ReadResult read(const std::string &name, std::chrono::milliseconds timeout) override;
    UpdateResult createIfAbsent(const std::string &name, const std::string &value,
                                std::chrono::milliseconds timeout) override;
    UpdateResult update(const std::string &name, const std::string &value,
                        std::uint64_t expectedVersion, std::chrono::milliseconds timeout) override;

private:
    boost::asio::io_context &m_loop;
    AsyncStore &m_store;
    ObjectKind m_kind;
    Freshness m_freshness; ///< Of all reads.
};

} // namespace almondmill
