#pragma once

#include <cstdint>
#include <string>

namespace almondmill {

// The store's revisions increase with each change, except that a store which returns to an older
// copy gives revisions out again. It then states a new era, higher than the one before. Within the
// router a revision is one number that holds the era above the store's own number, so that what
// was read or written after a return is newer than everything from before it. A store that states
// no era is in era 0, where the two numbers are the same.

/// Bits of a revision that hold the store's own number.
constexpr unsigned RevisionNumberBits = 44;

/// Highest numbers that a revision can hold.
constexpr std::uint64_t MaxRevisionNumber = (std::uint64_t(1) << RevisionNumberBits) - 1;
constexpr std::uint64_t MaxStoreEra = (std::uint64_t(1) << (64U - RevisionNumberBits)) - 1;

/// The revision that the store calls `number` in its era `era`.
constexpr std::uint64_t makeRevision(std::uint64_t era, std::uint64_t number)
{
    return (era << RevisionNumberBits) | number;
}

/// Era of the store in which a revision was given out.
constexpr std::uint64_t eraOf(std::uint64_t revision)
{
    return revision >> RevisionNumberBits;
}

/// The store's own number of a revision.
constexpr std::uint64_t numberOf(std::uint64_t revision)
{
    return revision & MaxRevisionNumber;
}

/// A revision for logs: the store's number, behind the era if the store states one.
std::string revisionText(std::uint64_t revision);

} // namespace almondmill
