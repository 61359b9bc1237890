#include "almondmill/store/revision.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

std::string revisionText(std::uint64_t revision)
{
    const std::string number = absl::StrCat(numberOf(revision));
    return eraOf(revision) == 0 ? number : absl::StrCat(eraOf(revision), "/", number);
}

} // namespace almondmill
