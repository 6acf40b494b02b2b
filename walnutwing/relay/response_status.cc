#include "walnutwing/relay/response_status.h"

namespace walnutwing {
namespace {

constexpr unsigned kFirstInterim = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinal = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kFirstAfterFinal = 600;

} // namespace

StatusKind
KindOf(unsigned aStatus)
{
  if (aStatus < kFirstInterim || aStatus >= kFirstAfterFinal ||
      aStatus == kSwitchingProtocols) {
    return StatusKind::Invalid;
  }
  if (aStatus < kFirstFinal) {
    return StatusKind::Interim;
  }
  if (aStatus == kNoContent || aStatus == kNotModified) {
    return StatusKind::FinalWithoutBody;
  }
  return StatusKind::Final;
}

bool
IsSuccess(unsigned aStatus)
{
  return aStatus / 100 == 2;
}

} // namespace walnutwing
