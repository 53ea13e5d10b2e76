#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/claim/world_type.h"

namespace poplarfork::claim {

// The states that may follow the state `from` of the model.
struct Successors {
  const World& from;
  std::vector<World> worlds = {};
};

// Adds the state after `event`, which uses up `faults` of the faults that are
// left. Adds nothing if fewer are left.
template <class Event>
void AddSuccessor(Successors& next,
                  const std::string& name,
                  int faults,
                  Event event) {
  if (next.from.faults_left < faults)
    return;
  World world = next.from;
  world.faults_left -= faults;
  world.trace = std::make_shared<Trace>(Trace{next.from.trace, name});
  event(world);
  next.worlds.push_back(std::move(world));
}

}  // namespace poplarfork::claim
