#include "almondmill/directory/softwarehash.h"

#include "almondmill/directory/registration.h"
#include "almondmill/kernel/hash.h"

#include <absl/strings/str_cat.h>

namespace almondmill {

SoftwareHash softwareHash(const Registration &entry)
{
    return shortHash(absl::StrCat(entry.service, "\n", entry.softwareVersion));
}

} // namespace almondmill
