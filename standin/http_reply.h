#ifndef WALNUTWING_STANDIN_HTTP_REPLY_H_
#define WALNUTWING_STANDIN_HTTP_REPLY_H_

// Helpers for the responses and the query parameters of the stand-ins.

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

// Responds {"error":{"message":TEXT}}. aText must need no JSON escapes.
inline void
ReplyError(net::Exchange& aExchange, int aStatus, const std::string& aText)
{
  ReplyJson(
    aExchange, aStatus, R"({"error":{"message":")" + aText + R"("}})" + "\n");
}

// Closes the connection before a complete response was sent.
inline void
AbortResponse(net::Exchange& aExchange)
{
  aExchange.Start(500, {});
  aExchange.Abort();
}

// Returns a query parameter as a number, or aDefault if it is missing or no
// number.
std::uint64_t
QueryNumber(std::string_view aQuery,
            std::string_view aName,
            std::uint64_t aDefault);

// Returns the text of a query parameter, or "" if it is missing.
std::string
QueryText(std::string_view aQuery, std::string_view aName);

} // namespace walnutwing::standin

#endif // WALNUTWING_STANDIN_HTTP_REPLY_H_
