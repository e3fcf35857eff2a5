#pragma once

/// Includes all public types and ports of teaselturn.

#include "teaselturn/Bundle.h"
#include "teaselturn/Command.h"
#include "teaselturn/LogEvent.h"
#include "teaselturn/Message.h"
#include "teaselturn/OwnershipTypes.h"
#include "teaselturn/Ports.h"
#include "teaselturn/Registry.h"
#include "teaselturn/Result.h"
#include "teaselturn/ResultCode.h"
#include "teaselturn/Types.h"
