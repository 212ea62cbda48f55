#pragma once

namespace monsoonward::httpstatus
{

// HTTP status codes that the gateway sends or tells apart.
constexpr unsigned firstInterim = 100;
constexpr unsigned switchingProtocols = 101; // the gateway never asks for it
constexpr unsigned firstSuccess = 200;
constexpr unsigned ok = 200;
constexpr unsigned firstRedirect = 300;
constexpr unsigned badRequest = 400;
constexpr unsigned unauthorized = 401;
constexpr unsigned notFound = 404;
constexpr unsigned requestTimeout = 408;
constexpr unsigned misdirectedRequest = 421; // another engine has this address now
constexpr unsigned tooManyRequests = 429;
constexpr unsigned firstServerError = 500;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned endOfStatuses = 600;

/// @return whether an engine may answer with the status, as an interim or a final response
constexpr bool isStatusOfAnswer(unsigned status)
{
    return status >= firstInterim && status < endOfStatuses && status != switchingProtocols;
}

/// @return whether callers conclude from the status alone that the request did not run
constexpr bool impliesNotRun(unsigned status)
{
    return status == requestTimeout || status == misdirectedRequest || status == tooManyRequests
        || status == unavailable;
}

/// @return whether an engine that runs requests sends this status because it could not serve one
constexpr bool isFailure(unsigned status)
{
    return status >= firstServerError || status == requestTimeout || status == tooManyRequests;
}

} // namespace monsoonward::httpstatus
