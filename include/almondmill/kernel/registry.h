#pragma once

#include "almondmill/kernel/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondmill {

/// Registry of the plug-ins of one interface. A plug-in registers itself under a name with a static
/// `Registrar` in its own source file. Plug-ins are looked up by name, for example by a name in the
/// settings.
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

    /// Creates the plug-in `name`. For an unknown name throws Error "kernel.101", whose message
    /// lists the known names.
    static std::unique_ptr<Interface> create(const std::string &name, Arguments... arguments)
    {
        const auto found = factories().find(name);
        if (found == factories().end())
            throw Error("kernel.101", "unknown plug-in '" + name + "', known: " + knownNames());
        return found->second(std::forward<Arguments>(arguments)...);
    }

    static bool isRegistered(const std::string &name) { return factories().count(name) != 0; }

    /// Returns all names in alphabetical order.
    static std::vector<std::string> names()
    {
        std::vector<std::string> names;
        for (const auto &[name, factory] : factories())
            names.push_back(name);
        return names;
    }

    /// Returns all names in alphabetical order, separated by commas.
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
