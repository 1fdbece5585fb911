#ifndef CITRONFERRY_PEERING_MESSAGES_H_
#define CITRONFERRY_PEERING_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace citronferry::peering {

/// First message on a new connection; the receiver responds with a heartbeat.
struct Hello {
  DataCentreName data_centre;

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// Sent every second; the receiver responds with its own heartbeat on the same connection.
struct Heartbeat {
  uint64_t configuration_version = 0;  ///< 0 while the sender has no configuration.
  std::string configuration_digest;    ///< Lower-case hexadecimal SHA-256; empty with version 0.
  uint32_t free_slots = 0;  ///< Slots that the sender could lend, summed over all executors.

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Announces the configuration that the sender has just activated.
struct ConfigAnnounce {
  uint64_t version = 0;
  std::string digest;

  friend bool operator==(const ConfigAnnounce&, const ConfigAnnounce&) = default;
};

/// Asks for the document with a digest.
struct DocumentRequest {
  std::string digest;  ///< Lower-case hexadecimal SHA-256.

  friend bool operator==(const DocumentRequest&, const DocumentRequest&) = default;
};

/// Response to a DocumentRequest.
struct DocumentReply {
  std::string digest;
  bool found = false;
  std::string text;  ///< The receiver verifies it against the digest.

  friend bool operator==(const DocumentReply&, const DocumentReply&) = default;
};

/// A number of slots of one executor.
struct InstanceSlots {
  InstanceId instance;
  uint32_t count = 0;

  friend bool operator==(const InstanceSlots&, const InstanceSlots&) = default;
};

/// Asks to borrow slots of any executor of a pool.
struct SlotRequest {
  uint64_t number = 0;  ///< Never reused by one incarnation of the sender.
  PoolName pool;
  uint32_t count = 0;
  Duration use{};  ///< How long from now requests may run on the lent slots.

  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};

/// Response to the SlotRequest with the same number; without slots it is a refusal.
struct SlotGrant {
  uint64_t number = 0;
  std::vector<InstanceSlots> slots;

  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

/// Reports which slots of a grant the borrower still uses. Duplicate or late messages are harmless,
/// since the remaining slots only decrease.
struct SlotReturn {
  uint64_t number = 0;
  std::vector<InstanceSlots> remaining;

  friend bool operator==(const SlotReturn&, const SlotReturn&) = default;
};

/// Calls to executors that the receiver is to make for the sender.
struct RelayCalls {
  std::string batch;  ///< Encoded by the sender; see fleet/relay.

  friend bool operator==(const RelayCalls&, const RelayCalls&) = default;
};

/// Results of RelayCalls.
struct RelayResults {
  std::string batch;  ///< Encoded by the sender; see fleet/relay.

  friend bool operator==(const RelayResults&, const RelayResults&) = default;
};

using Message = std::variant<Hello, Heartbeat, ConfigAnnounce, DocumentRequest, DocumentReply,
                             SlotRequest, SlotGrant, SlotReturn, RelayCalls, RelayResults>;

/// A message with its sender.
struct Envelope {
  EntryId sender;
  std::string incarnation;  ///< Identifies the sender's process.
  Message message;

  friend bool operator==(const Envelope&, const Envelope&) = default;
};

}  // namespace citronferry::peering

#endif  // CITRONFERRY_PEERING_MESSAGES_H_
