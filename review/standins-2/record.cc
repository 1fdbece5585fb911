#include "record.h"

#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>

namespace review {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::FILE* g_record = nullptr;
std::mutex g_record_mutex;

}  // namespace

int64_t NowMs() {
  static const auto kStart = std::chrono::steady_clock::now();
  return duration_cast<milliseconds>(std::chrono::steady_clock::now() - kStart).count();
}

int64_t UnixMs() {
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void Sleep(int64_t ms) { std::this_thread::sleep_for(milliseconds(ms)); }

void OpenRecord(const std::string& path) { g_record = std::fopen(path.c_str(), "we"); }

void Record(const std::string& text) {
  const std::lock_guard lock(g_record_mutex);
  if (!g_record) return;
  std::fprintf(g_record, "%8.3f %s\n", static_cast<double>(NowMs()) / 1000, text.c_str());
  std::fflush(g_record);
}

}  // namespace review
