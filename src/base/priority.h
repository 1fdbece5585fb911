#ifndef CITRONFERRY_BASE_PRIORITY_H_
#define CITRONFERRY_BASE_PRIORITY_H_

namespace citronferry {

/// Priority classes of work, most urgent first.
enum class Priority { kUrgent, kInteractive, kBatch, kWatcher };

}  // namespace citronferry

#endif  // CITRONFERRY_BASE_PRIORITY_H_
