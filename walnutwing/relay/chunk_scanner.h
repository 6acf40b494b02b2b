#ifndef WALNUTWING_RELAY_CHUNK_SCANNER_H_
#define WALNUTWING_RELAY_CHUNK_SCANNER_H_

// Extracts the few values that relaying needs from the JSON of one chunk of a
// streamed completion, without building a document.

#include <string_view>

namespace walnutwing {

enum class FinishReason
{
  Absent, // no choice has the key "finish_reason"
  Null,   // the completion continues
  Set,    // the completion ends with this chunk
};

struct ChunkFacts
{
  bool m_complete = false; // one JSON object with balanced quotes and brackets
  std::string_view m_id;   // the top-level "id" as written, without quotes
  FinishReason m_finish = FinishReason::Absent;
};

// Scans the text once; costs a few nanoseconds for each string or bracket and
// less than one nanosecond for each byte within a string. Of all other values,
// only quotes and brackets are checked.
ChunkFacts
ScanChunk(std::string_view aJson);

} // namespace walnutwing

#endif // WALNUTWING_RELAY_CHUNK_SCANNER_H_
