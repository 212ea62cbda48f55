#include "monsoonward/control/control.h"
