#pragma once

#include "monsoonward/gateway/gateway.h"

#include <boost/asio/ip/tcp.hpp>

// Helpers for the tests of this package.

namespace monsoonward
{

/// @return header names for tests, unlike those of any platform
inline HttpDialect testDialect()
{
    HttpDialect dialect;
    dialect.requestId = "Request-Id";
    dialect.timeLeft = "Time-Left";
    dialect.apiKey = "Key";
    dialect.customer = "Customer";
    dialect.expectedEngine = "Engine";
    dialect.notExecuted = "Not-Run";
    dialect.engineMarker = "Seal";
    dialect.engineLeaving = "Leaving";
    dialect.engineRateLimit = "Limit";
    dialect.tokenCounts = "Tokens";
    dialect.promptParts = "Parts";
    dialect.model = "Model";
    dialect.lastEventId = "Last-Event-Id";
    dialect.resumes = "Resumed-Request";
    dialect.reservedHeaders = {"Reserved"};
    dialect.readyPath = "/ready";
    return dialect;
}

/// @return a loopback address whose TCP port is free now
inline Address freeLoopbackAddress()
{
    boost::asio::io_context io;
    const auto ip = boost::asio::ip::address_v4::loopback();
    const boost::asio::ip::tcp::acceptor acceptor(io, {ip, 0});
    return {ip.to_string(), acceptor.local_endpoint().port()};
}

/// @brief Adapter with the header names of testDialect(), and without a store or decoders.
class TestAdapter : public Adapter
{
public:
    const HttpDialect &dialect() const override
    {
        return m_dialect;
    }
    const StoreLayout &storeLayout() const override
    {
        return m_layout;
    }
    Result<ServingConfiguration> decodeConfiguration(const std::string & /*text*/) const override
    {
        return Error {ErrorCode::Invalid, "no configuration"};
    }
    Result<EngineRecord> decodeEngine(const std::string & /*key*/, const std::string & /*text*/) const override
    {
        return Error {ErrorCode::Invalid, "no engine"};
    }
    Result<RolloutOrder> decodeRolloutOrder(const ServiceName & /*service*/,
                                            const std::string & /*text*/) const override
    {
        return Error {ErrorCode::Invalid, "no order"};
    }
    Result<RolloutStatus> decodeRolloutStatus(const ServiceName & /*service*/,
                                              const std::string & /*text*/) const override
    {
        return Error {ErrorCode::Invalid, "no state"};
    }
    std::string encodeRolloutStatus(const RolloutStatus & /*status*/) const override
    {
        return "";
    }
    std::unique_ptr<RowStore> makeRowStore(boost::asio::io_context & /*io*/, const Address & /*store*/) const override
    {
        return nullptr;
    }

private:
    HttpDialect m_dialect = testDialect();
    StoreLayout m_layout {"configuration", "row", "engines", "gateways"};
};

} // namespace monsoonward
