#include "walnutwing/routing/routing_config.h"

#include <array>

namespace walnutwing {
namespace {

constexpr std::array<std::string_view, 3> kKindNames = { "stream",
                                                         "order",
                                                         "lookup" };

} // namespace

std::string_view
NameOf(RouteKind aKind)
{
  return kKindNames.at(static_cast<std::size_t>(aKind));
}

} // namespace walnutwing
