#ifndef WALNUTWING_ROUTING_REQUEST_LIMITS_H_
#define WALNUTWING_ROUTING_REQUEST_LIMITS_H_

// What upstreams state in their responses about how many requests a second they
// take from all daemons together.
//
// A limit holds as long as responses state it. Daemons tell each other, so that
// a daemon that has had no response yet keeps to it as well; of several
// statements the newest counts, whoever received it. A limit that is not stated
// again ends after kLimitLifetime.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "walnutwing/base/clock.h"

namespace walnutwing {

// Throws std::invalid_argument unless aPerSecond can be a limit: a finite
// number from 0 on.
void
CheckRequestLimit(double aPerSecond);

// An upstream is identified by its LoadKey.
struct LimitStatement
{
  std::uint32_t m_upstream = 0;
  std::optional<double> m_perSecond; // nothing: no limit any more
  Time m_statedAt;
};

class RequestLimits
{
public:
  // A response states a limit, or none. aSentAt: when its request was sent; the
  // response to a request from before the last statement of a limit does not
  // end it. Returns whether the limit has changed.
  bool OnResponse(std::uint32_t aUpstream,
                  std::optional<double> aPerSecond,
                  Time aSentAt,
                  Time aNow);

  // Another daemon's statement. Returns whether the limit has changed. Throws
  // std::invalid_argument if it is no limit.
  bool OnStatement(const LimitStatement& aStatement, Time aNow);

  // Requests a second that the upstream takes; nullopt: any number.
  std::optional<double> LimitOf(std::uint32_t aUpstream, Time aNow) const;

  // Whether no statement is known, so that no upstream has a limit.
  bool Empty() const { return m_entries.empty(); }

  // What other daemons should be told in a message that is sent now: changes,
  // several times against losses, and from time to time what still holds.
  std::vector<LimitStatement> News(Time aNow) const;

  // Forgets what is too old. Must be called regularly.
  void DropExpired(Time aNow);

private:
  struct Entry
  {
    LimitStatement m_statement;
    Time m_toldSince; // the start of the time in which it is told
  };

  bool Update(const LimitStatement& aStatement, Time aNow);
  static bool IsExpired(const Entry& aEntry, Time aNow);

  std::map<std::uint32_t, Entry> m_entries; // by upstream
};

} // namespace walnutwing

#endif // WALNUTWING_ROUTING_REQUEST_LIMITS_H_
