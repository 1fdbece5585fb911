#include "peering/internal/codec.h"

#include <algorithm>
#include <array>

#include "peering.pb.h"

namespace citronferry::peering {
namespace {

constexpr size_t kMaxNameBytes = 256;
constexpr size_t kDigestDigits = 64;
// An executor has 8 slots; larger counts can only come from a faulty sender.
constexpr uint32_t kMaxSlotsPerInstance = 8;
constexpr int kMaxInstances = 64;
constexpr uint64_t kMaxUseUs = Duration(std::chrono::hours(24 * 28)).count();

using Fields = google::protobuf::RepeatedPtrField<wire::InstanceSlots>;

bool IsName(const std::string& text) { return !text.empty() && text.size() <= kMaxNameBytes; }

bool IsDigest(const std::string& text) {
  return text.size() == kDigestDigits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

void EncodeSlots(const std::vector<InstanceSlots>& slots, Fields& out) {
  for (const InstanceSlots& slot : slots) {
    wire::InstanceSlots& field = *out.Add();
    field.set_instance(slot.instance.str());
    field.set_count(slot.count);
  }
}

std::optional<std::vector<InstanceSlots>> DecodeSlots(const Fields& fields) {
  if (fields.size() > kMaxInstances) return std::nullopt;
  std::vector<InstanceSlots> slots;
  for (const wire::InstanceSlots& field : fields) {
    if (!IsName(field.instance()) || field.count() > kMaxSlotsPerInstance) return std::nullopt;
    slots.push_back({.instance = InstanceId(field.instance()), .count = field.count()});
  }
  return slots;
}

struct Encoder {
  wire::Envelope& out;

  void operator()(const Hello& m) const {
    out.mutable_hello()->set_data_centre(m.data_centre.str());
  }
  void operator()(const Heartbeat& m) const {
    wire::Heartbeat& body = *out.mutable_heartbeat();
    body.set_configuration_version(m.configuration_version);
    body.set_configuration_digest(m.configuration_digest);
    body.set_free_slots(m.free_slots);
  }
  void operator()(const ConfigAnnounce& m) const {
    wire::ConfigAnnounce& body = *out.mutable_config_announce();
    body.set_version(m.version);
    body.set_digest(m.digest);
  }
  void operator()(const DocumentRequest& m) const {
    out.mutable_document_request()->set_digest(m.digest);
  }
  void operator()(const DocumentReply& m) const {
    wire::DocumentReply& body = *out.mutable_document_reply();
    body.set_digest(m.digest);
    body.set_found(m.found);
    body.set_text(m.text);
  }
  void operator()(const SlotRequest& m) const {
    wire::SlotRequest& body = *out.mutable_slot_request();
    body.set_number(m.number);
    body.set_pool(m.pool.str());
    body.set_count(m.count);
    body.set_use_us(static_cast<uint64_t>(m.use.count()));
  }
  void operator()(const SlotGrant& m) const {
    wire::SlotGrant& body = *out.mutable_slot_grant();
    body.set_number(m.number);
    EncodeSlots(m.slots, *body.mutable_slots());
  }
  void operator()(const SlotReturn& m) const {
    wire::SlotReturn& body = *out.mutable_slot_return();
    body.set_number(m.number);
    EncodeSlots(m.remaining, *body.mutable_remaining());
  }
  void operator()(const RelayCalls& m) const { out.mutable_relay_calls()->set_batch(m.batch); }
  void operator()(const RelayResults& m) const { out.mutable_relay_results()->set_batch(m.batch); }
};

using DecodedMessage = std::optional<Message>;

DecodedMessage DecodeHello(const wire::Envelope& in) {
  if (in.hello().data_centre().size() > kMaxNameBytes) return std::nullopt;
  return Hello{.data_centre = DataCentreName(in.hello().data_centre())};
}

DecodedMessage DecodeHeartbeat(const wire::Envelope& in) {
  const wire::Heartbeat& body = in.heartbeat();
  const std::string& digest = body.configuration_digest();
  if (body.configuration_version() == 0 ? !digest.empty() : !IsDigest(digest)) return std::nullopt;
  return Heartbeat{.configuration_version = body.configuration_version(),
                   .configuration_digest = digest,
                   .free_slots = body.free_slots()};
}

DecodedMessage DecodeConfigAnnounce(const wire::Envelope& in) {
  const wire::ConfigAnnounce& body = in.config_announce();
  if (body.version() == 0 || !IsDigest(body.digest())) return std::nullopt;
  return ConfigAnnounce{.version = body.version(), .digest = body.digest()};
}

DecodedMessage DecodeDocumentRequest(const wire::Envelope& in) {
  if (!IsDigest(in.document_request().digest())) return std::nullopt;
  return DocumentRequest{.digest = in.document_request().digest()};
}

DecodedMessage DecodeDocumentReply(const wire::Envelope& in) {
  const wire::DocumentReply& body = in.document_reply();
  if (!IsDigest(body.digest())) return std::nullopt;
  return DocumentReply{.digest = body.digest(), .found = body.found(), .text = body.text()};
}

DecodedMessage DecodeSlotRequest(const wire::Envelope& in) {
  const wire::SlotRequest& body = in.slot_request();
  if (!IsName(body.pool()) || body.use_us() > kMaxUseUs) return std::nullopt;
  return SlotRequest{.number = body.number(),
                     .pool = PoolName(body.pool()),
                     .count = body.count(),
                     .use = Duration(static_cast<Duration::rep>(body.use_us()))};
}

DecodedMessage DecodeSlotGrant(const wire::Envelope& in) {
  auto slots = DecodeSlots(in.slot_grant().slots());
  if (!slots) return std::nullopt;
  return SlotGrant{.number = in.slot_grant().number(), .slots = std::move(*slots)};
}

DecodedMessage DecodeSlotReturn(const wire::Envelope& in) {
  auto remaining = DecodeSlots(in.slot_return().remaining());
  if (!remaining) return std::nullopt;
  return SlotReturn{.number = in.slot_return().number(), .remaining = std::move(*remaining)};
}

DecodedMessage DecodeRelayCalls(const wire::Envelope& in) {
  return RelayCalls{.batch = in.relay_calls().batch()};
}

DecodedMessage DecodeRelayResults(const wire::Envelope& in) {
  return RelayResults{.batch = in.relay_results().batch()};
}

/// How to decode one kind of message.
struct Decoder {
  wire::Envelope::BodyCase kind;
  DecodedMessage (*decode)(const wire::Envelope&);
  size_t max_bytes = kMaxControlBytes;
};

constexpr std::array<Decoder, std::variant_size_v<Message>> kDecoders{{
    {wire::Envelope::kHello, &DecodeHello},
    {wire::Envelope::kHeartbeat, &DecodeHeartbeat},
    {wire::Envelope::kConfigAnnounce, &DecodeConfigAnnounce},
    {wire::Envelope::kDocumentRequest, &DecodeDocumentRequest},
    {wire::Envelope::kDocumentReply, &DecodeDocumentReply, kMaxMessageBytes},
    {wire::Envelope::kSlotRequest, &DecodeSlotRequest},
    {wire::Envelope::kSlotGrant, &DecodeSlotGrant},
    {wire::Envelope::kSlotReturn, &DecodeSlotReturn},
    {wire::Envelope::kRelayCalls, &DecodeRelayCalls, kMaxMessageBytes},
    {wire::Envelope::kRelayResults, &DecodeRelayResults, kMaxMessageBytes},
}};

}  // namespace

std::string Encode(const Envelope& envelope) {
  wire::Envelope out;
  out.set_sender(envelope.sender.str());
  out.set_incarnation(envelope.incarnation);
  std::visit(Encoder{out}, envelope.message);
  return out.SerializeAsString();
}

std::optional<Envelope> Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return std::nullopt;
  wire::Envelope in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (!IsName(in.sender()) || !IsName(in.incarnation())) return std::nullopt;
  const auto decoder =
      std::find_if(kDecoders.begin(), kDecoders.end(),
                   [&in](const Decoder& candidate) { return candidate.kind == in.body_case(); });
  if (decoder == kDecoders.end() || bytes.size() > decoder->max_bytes) return std::nullopt;
  DecodedMessage message = decoder->decode(in);
  if (!message) return std::nullopt;
  return Envelope{.sender = EntryId(in.sender()),
                  .incarnation = in.incarnation(),
                  .message = std::move(*message)};
}

}  // namespace citronferry::peering
