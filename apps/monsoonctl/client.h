#pragma once

#include <monsoonward/stores/stores.h>

#include <string>

namespace monsoonctl
{

/// @brief Blocking HTTP client of one daemon's admin address.
class Client
{
public:
    /// @param token the operator's token, sent in the header Authorization; empty: no such header
    Client(const monsoonward::Address &address, const std::string &token);

    /// Waits for the response. Errors: Unavailable (the call was not sent), Unknown (it may have taken effect).
    monsoonward::Result<monsoonward::HttpResponse>
    call(const std::string &method, const std::string &path, const std::string &body = {}) const;

private:
    monsoonward::Address m_address;
    std::string m_token;
};

} // namespace monsoonctl
