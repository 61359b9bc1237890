#pragma once

#include "almondmill/kernel/finding.h"

#include <string>
#include <vector>

namespace almondmill {

/// Collects findings so that all of them are reported together.
class Findings
{
public:
    bool empty() const { return m_items.empty(); }
    const std::vector<Finding> &items() const { return m_items; }

    /// All findings, a line each.
    std::string text() const;

    void add(Finding finding);
    void append(const Findings &other);

private:
    std::vector<Finding> m_items;
};

} // namespace almondmill
