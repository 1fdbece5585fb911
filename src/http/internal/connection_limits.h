#ifndef CITRONFERRY_HTTP_INTERNAL_CONNECTION_LIMITS_H_
#define CITRONFERRY_HTTP_INTERNAL_CONNECTION_LIMITS_H_

#include <cstddef>

namespace citronferry::http {

/// Bytes that Qt reads from a socket ahead of the parser. A typical request fits.
inline constexpr size_t kReadAheadBytes = 16 * 1024;
/// Receive and send buffers of the kernel for each connection, which doubles them. Carries 5 MB/s
/// at a round trip of 6 ms.
inline constexpr int kSocketBufferBytes = 32 * 1024;
/// Charged for each connection: the read-ahead, as much of a pipelined request, the objects, and
/// what the kernel holds on average.
inline constexpr size_t kConnectionBytes = 3 * kReadAheadBytes;
/// Charged in addition for a connection with TLS, whose records are buffered in both directions.
inline constexpr size_t kTlsBytes = 64 * 1024;

}  // namespace citronferry::http

#endif  // CITRONFERRY_HTTP_INTERNAL_CONNECTION_LIMITS_H_
