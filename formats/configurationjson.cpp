#include "configurationjson.h"
