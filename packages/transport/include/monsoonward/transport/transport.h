#pragma once

/// Includes all public headers of the transport package: the message encoding and the connections between daemons.
#include "monsoonward/transport/codec.h"
#include "monsoonward/transport/h2connection.h"
#include "monsoonward/transport/ioloop.h"
#include "monsoonward/transport/peertransport.h"
#include "monsoonward/transport/tcpstream.h"
