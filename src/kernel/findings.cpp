#include "almondmill/kernel/findings.h"

namespace almondmill {

std::string Findings::text() const
{
    std::string result;
    for (const Finding &finding : m_items)
        result += finding.text() + "\n";
    return result;
}

void Findings::add(Finding finding)
{
    m_items.push_back(std::move(finding));
}

void Findings::append(const Findings &other)
{
    m_items.insert(m_items.end(), other.m_items.begin(), other.m_items.end());
}

} // namespace almondmill
