#pragma once

#include "monsoonward/stores/tableservice.h"

#include <string>
#include <vector>

/// Requests and answers of the JSON gateway of etcd's version 3 interface: keys and values in base64, 64-bit numbers as
/// decimal strings.
namespace monsoonward
{

std::string rangeRequest(const std::string &key);
std::string scanRequest(const std::string &prefix, const std::string &after, std::size_t limit);
std::string txnRequest(const std::vector<RowWrite> &writes);

Result<std::vector<Row>> parseRangeResponse(const std::string &body);
/// @return success, Conflict when a condition did not hold, or Unknown when the answer is malformed
Result<void> parseTxnResponse(const std::string &body);

std::string toBase64(const std::string &bytes);
/// @throws std::exception when malformed
std::string fromBase64(const std::string &text);

} // namespace monsoonward
