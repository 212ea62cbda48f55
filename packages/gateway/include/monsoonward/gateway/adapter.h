#pragma once

#include "monsoonward/gateway/httpdialect.h"
#include "monsoonward/gateway/rowstore.h"

#include <monsoonward/dispatch/dispatch.h>

#include <boost/asio/io_context.hpp>

#include <memory>

namespace monsoonward
{

/// @brief Names of the tables and keys in the fleet's store that a gateway uses.
struct StoreLayout
{
    std::string configurationTable;
    std::string configurationKey;
    std::string engineTable; ///< engine registrations, keyed by engine name
    std::string gatewayTable; ///< gateway registrations, keyed by host; written by the gateways themselves
    /// Of the keys of roll-outs, followed by the service: orders in the configuration's table, states in stateTable.
    std::string rolloutKeyPrefix {};
    std::string stateTable {}; ///< what gateways tell the operators
    MONSOONWARD_FIELDS(configurationTable, configurationKey, engineTable, gatewayTable, rolloutKeyPrefix, stateTable)
};

/// @brief Adapts a gateway to the platform of its fleet: header names, store tables, record formats and store client.
class Adapter
{
public:
    virtual ~Adapter() = default;
    virtual const HttpDialect &dialect() const = 0;
    virtual const StoreLayout &storeLayout() const = 0;
    /// Decodes the operators' configuration. Errors: Invalid, with the position.
    virtual Result<ServingConfiguration> decodeConfiguration(const std::string &text) const = 0;
    /// Decodes the record that an engine registered under @p key. Errors: Invalid, with the position.
    virtual Result<EngineRecord> decodeEngine(const std::string &key, const std::string &text) const = 0;
    /// Decodes an operator's order; its id is left out. Errors: Invalid, with what is wrong.
    virtual Result<RolloutOrder> decodeRolloutOrder(const ServiceName &service, const std::string &text) const = 0;
    /// Errors: Invalid, with what is wrong.
    virtual Result<RolloutStatus> decodeRolloutStatus(const ServiceName &service, const std::string &text) const = 0;
    virtual std::string encodeRolloutStatus(const RolloutStatus &status) const = 0;
    /// @return a store client with its own connection
    virtual std::unique_ptr<RowStore> makeRowStore(boost::asio::io_context &io, const Address &store) const = 0;
};

} // namespace monsoonward
