#include "monsoonward/daemon/daemon.h"
