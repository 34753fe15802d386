// Helpers for the state machines of the project, which are built with Boost.MSM.
#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace tamarack {

// Row of a transition table without action or guard.
template <typename Source, typename Event, typename Target>
using transition =
    boost::msm::front::Row<Source, Event, Target, boost::msm::front::none, boost::msm::front::none>;

// Base of a state machine that ignores events without a transition from the current state.
template <typename Front>
struct tolerant_front : boost::msm::front::state_machine_def<Front> {
    template <typename Machine, typename Event>
    void no_transition(const Event&, Machine&, int) {}
};

// Whether the first region of the machine is in `State`.
template <typename State, typename Machine>
bool in_state(const Machine& one) {
    using states = typename Machine::stt;
    return one.current_state()[0] == boost::msm::back::get_state_id<states, State>::value;
}

} // namespace tamarack
