#include "messages.h"

namespace crocusreach {

auto toString(TargetState state) -> std::string_view
{
    switch (state) {
    case TargetState::Unknown:
        return "unknown";
    case TargetState::Warm:
        return "warm";
    case TargetState::Cold:
        return "cold";
    case TargetState::Draining:
        return "draining";
    }
    return "invalid";
}

} // namespace crocusreach
