#ifndef CITRONFERRY_REVIEW_STANDINS_2_RECORD_H_
#define CITRONFERRY_REVIEW_STANDINS_2_RECORD_H_

#include <cstdint>
#include <string>

namespace review {

/// @return milliseconds of the steady clock since the start of the program.
int64_t NowMs();
/// @return milliseconds since 1970.
int64_t UnixMs();
void Sleep(int64_t ms);

/// Opens the file that Record writes to.
void OpenRecord(const std::string& path);
/// Writes a line with the time. May be called from any thread.
void Record(const std::string& text);

}  // namespace review

#endif  // CITRONFERRY_REVIEW_STANDINS_2_RECORD_H_
