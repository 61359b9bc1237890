#pragma once

#include "almondmill/directory/registration.h"
#include "almondmill/directory/weightstarget.h"
#include "almondmill/kernel/registry.h"
#include "almondmill/route/routingconfiguration.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace almondmill {

class AsyncStore;
class WireCodec;
enum class OrderAnswer;
struct EngineReport;
struct WeightsOrder;

/// Translates the formats of one platform: HTTP headers, objects of its store and orders to
/// engines. Adapters register under the name that the settings use. They are stateless and contain
/// no policy.
class PlatformAdapter
{
public:
    virtual ~PlatformAdapter() = default;

    virtual const WireCodec &codec() const = 0;

    virtual std::unique_ptr<AsyncStore> makeStore(boost::asio::any_io_executor executor,
                                                  boost::asio::ip::tcp::endpoint server) const = 0;

    /// Name of the store object that holds the routing configuration.
    virtual std::string routingObject() const = 0;

    /// Path of the readiness check of the load balancer.
    virtual std::string readyPath() const = 0;

    /// The decoders throw Error "platform.1xx" when the text is malformed or lacks a required
    /// field.
    virtual RoutingConfiguration decodeRouting(const std::string &text) const = 0;
    virtual Registration decodeRegistration(const std::string &id,
                                            const std::string &text) const = 0;
    virtual WeightsTarget decodeWeightsTarget(const std::string &text) const = 0;

    /// Path of a weights order, its header lines with their line ends, and its body.
    virtual std::string orderPath() const = 0;
    virtual std::string encodeOrderHeaders(const WeightsOrder &order) const = 0;
    virtual std::string encodeOrder(const WeightsOrder &order) const = 0;
    virtual OrderAnswer decodeOrderAnswer(unsigned status) const = 0;

    /// Path of an engine's status report, and its decoder, which throws like the decoders above.
    virtual std::string reportPath() const = 0;
    virtual EngineReport decodeReport(const std::string &text) const = 0;
};

using PlatformAdapterRegistry = Registry<PlatformAdapter>;

} // namespace almondmill
