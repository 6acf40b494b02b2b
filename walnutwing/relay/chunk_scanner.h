#ifndef WALNUTWING_RELAY_CHUNK_SCANNER_H_
#define WALNUTWING_RELAY_CHUNK_SCANNER_H_

// Reads from the JSON of one chunk of a streamed completion only what relaying
// needs, without building a document.

#include <string_view>

namespace walnutwing {

enum class FinishReason
{
  Absent, // no choice has the key "finish_reason"
  Null,   // the completion goes on
  Set,    // the completion ends with this chunk
};

struct ChunkFacts
{
  bool m_complete = false; // one JSON object, its strings and brackets closed
  std::string_view m_id;   // the top-level "id" as written, without quotes
  FinishReason m_finish = FinishReason::Absent;
};

// One pass over the text, a few nanoseconds for each string and bracket and
// less than one for a byte within a string. Values other than the two above are
// not checked beyond their strings and brackets.
ChunkFacts
ScanChunk(std::string_view aJson);

} // namespace walnutwing

#endif // WALNUTWING_RELAY_CHUNK_SCANNER_H_
