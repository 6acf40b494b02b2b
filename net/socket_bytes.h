#ifndef WALNUTWING_NET_SOCKET_BYTES_H_
#define WALNUTWING_NET_SOCKET_BYTES_H_

// What the kernel counts of a TCP connection.

#include <cstdint>
#include <optional>

namespace walnutwing::net {

// The bytes that this process has read from a connected socket so far; nothing
// if the kernel does not tell.
std::optional<std::uint64_t>
BytesRead(int aDescriptor);

} // namespace walnutwing::net

#endif // WALNUTWING_NET_SOCKET_BYTES_H_
