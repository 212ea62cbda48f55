#pragma once

#include <monsoonward/stores/stores.h>

#include <string>

namespace monsoonctl
{

/// @brief Calls to one daemon's admin address.
class Client
{
public:
    /// @param token the operator's, sent as a bearer token; empty: none
    Client(const monsoonward::Address &address, const std::string &token);

    /// Waits for the answer. Errors: Unavailable (not sent), Unknown.
    monsoonward::Result<monsoonward::HttpResponse>
    call(const std::string &method, const std::string &path, const std::string &body = {}) const;

private:
    monsoonward::Address m_address;
    std::string m_token;
};

} // namespace monsoonctl
