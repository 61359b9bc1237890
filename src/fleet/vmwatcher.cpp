#include "vmwatcher.h"

#include "almondmill/endpoint/proberchoice.h"
#include "almondmill/fleet/memberview.h"
#include "almondmill/kernel/hash.h"
#include "almondmill/kernel/node.h"
#include "almondmill/store/vmlist.h"

#include <absl/container/flat_hash_set.h>

namespace almondmill {

namespace {

/// Hash by which the readers of the VM list are elected, in the same way as the probers of an
/// endpoint by the hash of its name.
constexpr std::uint64_t VmListHash = 0x766d6c697374;

std::optional<ProberSlot> readerSlot(const Node &node)
{
    return proberSlot(VmListHash, node.settings.dataCentre, node.members->self(),
                      *node.members->members());
}

} // namespace

VmWatcher::VmWatcher(Node &node, Handler handler)
    : m_node(node)
    , m_handler(std::move(handler))
{}

VmWatcher::~VmWatcher()
{
    stop();
}

void VmWatcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void VmWatcher::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_stopSignal.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void VmWatcher::run()
{
    while (true) {
        const auto wait = timeUntilNextRead(std::chrono::system_clock::now());
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            if (m_stopSignal.wait_for(lock, wait, [&] { return m_stopping; }))
                return;
        }
        if (!m_node.vmList || !isActiveReader())
            continue;
        const auto result = m_node.vmList->vms(m_node.settings.platformTimeout);
        if (const auto *vms = std::get_if<std::vector<Vm>>(&result))
            m_handler(*vms);
    }
}

std::chrono::milliseconds VmWatcher::timeUntilNextRead(WallTime now) const
{
    const auto slot = readerSlot(m_node);
    return timeUntilNextSlot(VmListHash, slot.value_or(ProberSlot{}), now);
}

bool VmWatcher::isActiveReader() const
{
    return readerSlot(m_node).has_value();
}

std::vector<std::string> routerCandidates(const std::vector<Vm> &vms, const Node &node)
{
    absl::flat_hash_set<std::string> endpoints;
    const auto set = node.endpoints.snapshot();
    for (const auto &state : set->all()) {
        const std::string &address = state->endpoint().address;
        endpoints.insert(address);
        endpoints.insert(address.substr(0, address.rfind(':')));
    }
    const std::string &own = node.settings.peersListen;
    const std::string port = own.substr(own.rfind(':'));
    std::vector<std::string> addresses;
    for (const Vm &vm : vms) {
        if (vm.leaving || endpoints.contains(vm.address))
            continue;
        const bool hasPort = vm.address.find(':') != std::string::npos;
        addresses.push_back(hasPort ? vm.address : vm.address + port);
    }
    return addresses;
}

} // namespace almondmill
