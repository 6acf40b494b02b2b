#ifndef WALNUTWING_STANDIN_HTTP_REPLY_H_
#define WALNUTWING_STANDIN_HTTP_REPLY_H_

// Short forms of the answers that the stand-ins give.

#include <cstdint>
#include <string>
#include <string_view>

#include "net/http_server.h"

namespace walnutwing::standin {

inline constexpr std::string_view kProtobufType = "application/x-protobuf";

inline void
ReplyJson(net::Exchange& aExchange, int aStatus, std::string aJson)
{
  aExchange.Respond(
    aStatus, { { "content-type", "application/json" } }, std::move(aJson));
}

// {"error":{"message":TEXT}}; aText needs no escapes.
inline void
ReplyError(net::Exchange& aExchange, int aStatus, const std::string& aText)
{
  ReplyJson(
    aExchange, aStatus, R"({"error":{"message":")" + aText + R"("}})" + "\n");
}

// Closes the connection so that the caller gets no whole answer.
inline void
AbortResponse(net::Exchange& aExchange)
{
  aExchange.Start(500, {});
  aExchange.Abort();
}

// The number in a query parameter, or aDefault when it is missing or none.
std::uint64_t
QueryNumber(std::string_view aQuery,
            std::string_view aName,
            std::uint64_t aDefault);

// The text of a query parameter, or "".
std::string
QueryText(std::string_view aQuery, std::string_view aName);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_HTTP_REPLY_H_
