#ifndef CITRONFERRY_PEERING_MESSAGES_H_
#define CITRONFERRY_PEERING_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::peering {

/// First message on a new connection; answered with a heartbeat.
struct Hello {
  DataCentreName data_centre;

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// Sent every second and answered with the receiver's own heartbeat on the same connection.
struct Heartbeat {
  uint64_t configuration_version = 0;  ///< 0 while the sender has no configuration.
  std::string configuration_digest;    ///< Lower-case hexadecimal SHA-256; empty with version 0.
  uint32_t free_slots = 0;             ///< Slots that the sender could lend, over all executors.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// The sender has just adopted this configuration.
struct ConfigAnnounce {
  uint64_t version = 0;
  std::string digest;

  friend bool operator==(const ConfigAnnounce&, const ConfigAnnounce&) = default;
};

struct DocumentRequest {
  std::string digest;

  friend bool operator==(const DocumentRequest&, const DocumentRequest&) = default;
};

struct DocumentReply {
  std::string digest;
  bool found = false;
  std::string text;  ///< The receiver verifies it against the digest.

  friend bool operator==(const DocumentReply&, const DocumentReply&) = default;
};

struct InstanceSlots {
  InstanceId instance;
  uint32_t count = 0;

  friend bool operator==(const InstanceSlots&, const InstanceSlots&) = default;
};

/// Asks for slots of any executor of a pool.
struct SlotRequest {
  uint64_t number = 0;  ///< Never reused by one incarnation of the sender.
  PoolName pool;
  uint32_t count = 0;
  Duration use{};  ///< Longest time from now that a request may run on a lent slot.

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// Answers a SlotRequest; no slots mean a refusal.
struct SlotGrant {
  uint64_t number = 0;
  std::vector<InstanceSlots> slots;

  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

/// Says which slots of a grant the borrower still uses. Repeated or late copies do no harm, since
/// the remaining slots only decrease.
struct SlotReturn {
  uint64_t number = 0;
  std::vector<InstanceSlots> remaining;

  friend bool operator==(const SlotReturn&, const SlotReturn&) = default;
};

using Message = std::variant<Hello, Heartbeat, ConfigAnnounce, DocumentRequest, DocumentReply,
                             SlotRequest, SlotGrant, SlotReturn>;

/// A message with its sender.
struct Envelope {
  EntryId sender;
  std::string incarnation;  ///< Of the sender's process.
  Message message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_MESSAGES_H_
