#pragma once

#include "monsoonward/stores/tableservice.h"

#include <string>
#include <vector>

/// Request and response bodies of the JSON gateway of etcd's v3 API: keys and values in base64, 64-bit numbers as
/// decimal strings.
namespace monsoonward
{

/// Encodes a request that reads one row.
std::string rangeRequest(const std::string &key);
/// Encodes a request for TableService::scan().
std::string scanRequest(const std::string &prefix, const std::string &after, std::size_t limit);
/// Encodes a transaction that compares all expected versions and then applies all writes.
std::string txnRequest(const std::vector<RowWrite> &writes);

/// Errors: Unavailable, when the response is malformed.
Result<std::vector<Row>> parseRangeResponse(const std::string &body);
/// @return success, Conflict when a condition did not hold, or Unknown when the response is malformed
Result<void> parseTxnResponse(const std::string &body);

std::string toBase64(const std::string &bytes);
/// @throws std::exception when @p text is not valid base64
std::string fromBase64(const std::string &text);

} // namespace monsoonward
