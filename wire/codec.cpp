#include "codec.h"
