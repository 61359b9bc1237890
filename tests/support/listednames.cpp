#include "support/listednames.h"

namespace almondmill::test {

std::vector<std::string> listedNames(const ListResult &result)
{
    std::vector<std::string> names;
    if (const auto *list = std::get_if<ObjectList>(&result)) {
        for (const StoredObject &object : list->objects)
            names.push_back(object.name);
    }
    return names;
}

} // namespace almondmill::test
