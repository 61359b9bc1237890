#include "almondmill/endpoint/endpointtable.h"

namespace almondmill {

namespace {

std::shared_ptr<const EndpointSet> emptySet()
{
    auto configuration = std::make_shared<const Configuration>(0, Inventory{}, Rules{});
    return std::make_shared<const EndpointSet>(std::move(configuration), nullptr);
}

} // namespace

EndpointTable::EndpointTable()
    : m_set(emptySet())
{}

std::uint64_t EndpointTable::version() const
{
    return m_set.read([](const EndpointSet &set) { return set.configuration().version(); });
}

bool EndpointTable::apply(std::shared_ptr<const Configuration> configuration)
{
    const std::lock_guard<std::mutex> lock(m_writeMutex);
    const auto current = m_set.snapshot();
    if (configuration->version() <= current->configuration().version())
        return false;
    m_set.publish(std::make_shared<const EndpointSet>(std::move(configuration), current.get()));
    return true;
}

} // namespace almondmill
