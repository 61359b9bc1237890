#pragma once

#include "almondmill/kernel/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondmill {

/// Plug-ins of one interface by name. A plug-in registers itself with a static `Registrar` in its
/// own source file; the kernel finds it by the name in the settings.
template<typename Interface, typename... Arguments>
class Registry
{
public:
    using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

    struct Registrar
    {
        Registrar(const std::string &name, Factory factory)
        {
            Registry::factories().emplace(name, std::move(factory));
        }
    };

    /// Makes the plug-in `name`. Throws Error "kernel.101", which lists the known names.
    static std::unique_ptr<Interface> create(const std::string &name, Arguments... arguments)
    {
        const auto found = factories().find(name);
        if (found == factories().end())
            throw Error("kernel.101", "unknown plug-in '" + name + "', known: " + knownNames());
        return found->second(std::forward<Arguments>(arguments)...);
    }

    static bool knows(const std::string &name) { return factories().count(name) != 0; }

    /// All names, in order.
    static std::vector<std::string> names()
    {
        std::vector<std::string> names;
        for (const auto &[name, factory] : factories())
            names.push_back(name);
        return names;
    }

    /// All names, in order, with commas between.
    static std::string knownNames()
    {
        std::string text;
        for (const std::string &name : names())
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

private:
    static std::map<std::string, Factory> &factories()
    {
        static std::map<std::string, Factory> instance;
        return instance;
    }
};

} // namespace almondmill
