#pragma once

#include "almondmill/kernel/finding.h"

#include <string>
#include <vector>

namespace almondmill {

/// List of findings, so that all errors of an input are reported together.
class Findings
{
public:
    bool empty() const { return m_items.empty(); }
    const std::vector<Finding> &items() const { return m_items; }

    /// Returns all findings, one per line.
    std::string text() const;

    void add(Finding finding);
    void append(const Findings &other);

private:
    std::vector<Finding> m_items;
};

} // namespace almondmill
