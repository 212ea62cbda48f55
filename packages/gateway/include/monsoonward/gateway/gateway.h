#pragma once

/// Umbrella header of the gateway package: a daemon that accepts callers' requests and proxies them to engines.
#include "monsoonward/gateway/adapter.h"
#include "monsoonward/gateway/gatewayprocess.h"
#include "monsoonward/gateway/gatewaysettings.h"
#include "monsoonward/gateway/httpchannel.h"
#include "monsoonward/gateway/httpdialect.h"
#include "monsoonward/gateway/rowstore.h"
