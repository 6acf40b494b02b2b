#ifndef WALNUTWING_ROUTING_SERVED_PARTS_H_
#define WALNUTWING_ROUTING_SERVED_PARTS_H_

// Remembers when prompt parts were last served: when an upstream last proved
// that it can answer a request with the part. Keeps the parts that were served
// most recently, in two generations: when the newer one is full it replaces the
// older one, so that the memory is bounded without an order of use.

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

class ServedParts
{
public:
  // Remembers at least the aParts parts that were served last, and at most
  // twice as many.
  explicit ServedParts(std::size_t aParts = 512)
    : m_generationSize(aParts)
  {
  }

  // The part was served at aTime. An earlier time than the known one changes
  // nothing.
  void OnServed(const PromptPartId& aPart, Time aTime);

  // When the part was last served; nullopt if that is not remembered.
  std::optional<Time> LastServed(const PromptPartId& aPart) const;

private:
  using Generation = std::unordered_map<PromptPartId, Time>;

  std::size_t m_generationSize;
  Generation m_newer;
  Generation m_older;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_SERVED_PARTS_H_
