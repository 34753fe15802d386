#include "tamarack/engine.hpp"

namespace tamarack::engine {

std::string_view to_string(order_answer answer) {
    switch (answer) {
    case order_answer::accepted:
        return "accepted";
    case order_answer::done:
        return "done";
    case order_answer::conflict:
        return "conflict";
    case order_answer::fenced:
        return "fenced";
    case order_answer::wrong_engine:
        return "wrong_engine";
    case order_answer::invalid:
        return "invalid";
    case order_answer::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace tamarack::engine
