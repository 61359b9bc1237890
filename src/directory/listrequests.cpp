#include "almondmill/directory/listrequests.h"

#include <algorithm>

namespace almondmill {

ListRequests::ListRequests(Freshness first)
    : m_freshness(first)
    , m_mayBeStale(first == Freshness::MayBeStale)
{}

void ListRequests::request()
{
    m_isPending = true;
    m_freshness = Freshness::Current;
    m_mayBeStale = false;
    ++m_requests;
}

void ListRequests::requestUpTo(std::uint64_t revision)
{
    m_upTo = std::max(m_upTo, revision);
    if (m_isPending)
        return;
    m_isPending = true;
    m_freshness = Freshness::MayBeStale;
    m_mayBeStale = true;
}

ListRequests::Read ListRequests::begin() const
{
    return {m_freshness, m_requests, m_upTo};
}

void ListRequests::fail()
{
    const bool isNextStale = m_mayBeStale && m_freshness == Freshness::Current;
    m_freshness = isNextStale ? Freshness::MayBeStale : Freshness::Current;
}

bool ListRequests::complete(const Read &read, std::uint64_t revision, std::uint64_t knownRevision)
{
    const bool isSuperseded = read.requests != m_requests;
    const bool isStale = read.freshness == Freshness::MayBeStale;
    m_freshness = Freshness::Current;
    m_mayBeStale = false;
    if (isStale && (isSuperseded || revision < std::max(m_upTo, knownRevision)))
        return false;
    // A current list that lacks a revision which was requested before it shows that the store has
    // no such revision.
    const bool lacksLaterRequest = m_upTo > read.upTo && revision < m_upTo;
    m_isPending = isSuperseded || lacksLaterRequest;
    return true;
}

} // namespace almondmill
