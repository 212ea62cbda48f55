#pragma once

/// The one header to include for the callers' side: HTTP/1.1 connections, requests in, answers out as they come.
#include "monsoonward/callers/callerlistener.h"
#include "monsoonward/callers/callerservice.h"
#include "monsoonward/callers/listening.h"
#include "monsoonward/callers/socketoptions.h"
