#pragma once

/// The public header of the transport package: the encoding of messages and the streams between processes.
#include "monsoonward/transport/codec.h"
#include "monsoonward/transport/h2connection.h"
#include "monsoonward/transport/ioloop.h"
#include "monsoonward/transport/peertransport.h"
#include "monsoonward/transport/tcpstream.h"
