#pragma once

/// The public header of the gateway package: a daemon that takes callers' requests and sends them to engines itself.
#include "monsoonward/gateway/adapter.h"
#include "monsoonward/gateway/gatewayprocess.h"
#include "monsoonward/gateway/gatewaysettings.h"
#include "monsoonward/gateway/httpchannel.h"
#include "monsoonward/gateway/httpdialect.h"
#include "monsoonward/gateway/rowstore.h"
