#pragma once

#include "monsoonward/gateway/httpdialect.h"
#include "monsoonward/gateway/rowstore.h"

#include <monsoonward/dispatch/dispatch.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace monsoonward
{

/// @brief Tables and keys of the fleet's store.
struct StoreLayout
{
    std::string configurationTable;
    std::string configurationKey;
    std::string engineTable; ///< registrations, by engine
    std::string gatewayTable; ///< gateways, by host; written by the gateways
    MONSOONWARD_FIELDS(configurationTable, configurationKey, engineTable, gatewayTable)
};

/// @brief Names, formats and calls of the fleet that a gateway runs in.
class Adapter
{
public:
    virtual ~Adapter() = default;
    virtual const HttpDialect &dialect() const = 0;
    virtual const StoreLayout &storeLayout() const = 0;
    /// Decodes the operators' configuration. Errors: Invalid, with the place.
    virtual Result<ServingConfiguration> decodeConfiguration(const std::string &text) const = 0;
    /// Decodes what an engine registered under @p key. Errors: Invalid, with the place.
    virtual Result<EngineRecord> decodeEngine(const std::string &key, const std::string &text) const = 0;
    /// @return a client of the store with a connection of its own
    virtual std::unique_ptr<RowStore> makeRowStore(boost::asio::io_context &io, const Address &store) const = 0;
};

} // namespace monsoonward
