#ifndef WALNUTWING_ROUTER_RESPONSE_WRITER_H_
#define WALNUTWING_ROUTER_RESPONSE_WRITER_H_

// The caller's side of a response, and the router's own error responses.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "walnutwing/base/clock.h"
#include "walnutwing/base/result_code.h"
#include "walnutwing/routing/run_evidence.h"

namespace walnutwing::router {

// Writes the response to the caller, in one or several pieces.
class ResponseWriter
{
public:
  virtual ~ResponseWriter() = default;
  // Begins a response. aHead is the status line and fields except those that
  // frame the body. The body has aLength bytes, or an unknown length if it is
  // not given.
  virtual void Begin(std::string aHead,
                     std::optional<std::uint64_t> aLength) = 0;
  virtual void Write(std::string_view aPiece) = 0;
  // The response is complete.
  virtual void End() = 0;
  // Ends an incomplete response in a way that the caller can detect.
  virtual void Abort() = 0;
  // Bytes that are not yet written to the caller's socket.
  virtual std::size_t PendingBytes() const = 0;

  // Ends the caller's request now if its connection shows that it has left,
  // rather than when that is read.
  virtual void CheckCaller() {}

  // How many bytes of a response may be kept for the caller.
  virtual std::size_t MaxKeptBytes() const { return kMaxKeptBytes; }
  // aBytes of the response are kept until they are written.
  virtual void OnKept(std::size_t /*aBytes*/) {}

protected:
  static constexpr std::size_t kMaxKeptBytes = 256U << 10U;
};

// Writes a complete error response with a numbered code to a request that has
// not run and never will: callers send it again. aRetryAfter, if given, becomes
// the Retry-After field.
void
WriteRefusal(ResponseWriter& aWriter,
             const NotRun& aNotRun,
             ResultCode aCode,
             std::optional<Duration> aRetryAfter);

// Writes a complete error response to a request that may have run. A code that
// says "not run" is replaced by UpstreamFailed.
void
WriteFailure(ResponseWriter& aWriter, ResultCode aCode);

} // namespace walnutwing::router

#endif // WALNUTWING_ROUTER_RESPONSE_WRITER_H_
