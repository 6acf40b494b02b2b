#ifndef WALNUTWING_ROUTING_SERVED_TRAITS_H_
#define WALNUTWING_ROUTING_SERVED_TRAITS_H_

// Remembers when traits were last served: when an upstream last proved that it
// can answer a request with the trait. Keeps the traits that were served most
// recently, in two generations: when the newer one is full it replaces the
// older one, so that the memory is bounded without an order of use. Parts of
// prompts and requests (request_fingerprint.h) have memories of their own, as
// most requests come once and would push out the parts.

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/id.h"

namespace walnutwing {

class ServedTraits
{
public:
  // Remembers of each kind at least the aTraits traits that were served last,
  // and at most twice as many.
  explicit ServedTraits(std::size_t aTraits = 512)
    : m_generationSize(aTraits)
  {
  }

  // The trait was served at aTime. An earlier time than the known one changes
  // nothing.
  void OnServed(const TraitId& aTrait, Time aTime);

  // When the trait was last served; nullopt if that is not remembered.
  std::optional<Time> LastServed(const TraitId& aTrait) const;

private:
  using Generation = std::unordered_map<TraitId, Time>;
  struct Memory
  {
    Generation m_newer;
    Generation m_older;
  };

  Memory& MemoryOf(const TraitId& aTrait);

  std::size_t m_generationSize;
  Memory m_parts;
  Memory m_requests;
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_SERVED_TRAITS_H_
