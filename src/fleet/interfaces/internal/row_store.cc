#include "fleet/interfaces/row_store.h"

#include <utility>

namespace citronferry::fleet {

QCoro::Task<RetVal<RowRange>> ReadPartition(RowStore& store, std::string table,
                                            std::string partition) {
  RowRange whole;
  std::string from;
  bool first = true;
  do {
    auto page = co_await store.Read(table, partition, from, std::string());
    if (!page.ok()) co_return page.ret();
    if (std::exchange(first, false)) {
      whole.version = page->version;
      whole.clock_ms = page->clock_ms;
    }
    // Smallest key after the last one on this page.
    if (!page->rows.empty()) from = page->rows.back().key.key + '\x01';
    whole.has_more = page->has_more && !page->rows.empty();
    std::move(page->rows.begin(), page->rows.end(), std::back_inserter(whole.rows));
  } while (whole.has_more);
  co_return whole;
}

QCoro::Task<RetVal<RowRange>> ReadPartitions(RowStore& store, std::string table,
                                             std::vector<std::string> partitions) {
  RowRange whole;
  bool first = true;
  for (const std::string& partition : partitions) {
    auto range = co_await ReadPartition(store, table, partition);
    if (!range.ok()) co_return range.ret();
    if (std::exchange(first, false)) {
      whole.version = range->version;
      whole.clock_ms = range->clock_ms;
    }
    std::move(range->rows.begin(), range->rows.end(), std::back_inserter(whole.rows));
  }
  co_return whole;
}

}  // namespace citronferry::fleet
