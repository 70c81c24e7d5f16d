// The keys that encrypt the tickets of TLS session resumption (RFC 5077), rotated every kRotationIntervalUs.
// The previous key still decrypts tickets, so a ticket is valid for one to two such intervals. Shared by
// successive TlsContexts.
#ifndef LIFTRUDDER_NET_TLS_TICKET_KEYS_H_
#define LIFTRUDDER_NET_TLS_TICKET_KEYS_H_

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>

#include "coordinator/interfaces.h"

namespace liftrudder::net {

// Thread-safe.
class TicketKeys {
 public:
  static constexpr std::size_t kNameBytes = 16;
  static constexpr std::size_t kKeyBytes = 32;
  static constexpr coordinator::Micros kRotationIntervalUs = 3'600'000'000;

  struct Key {
    std::array<unsigned char, kNameBytes> name{};  // sent in the ticket
    std::array<unsigned char, kKeyBytes> cipher{};
    std::array<unsigned char, kKeyBytes> mac{};
  };
  struct FoundKey {
    Key key;
    bool newest = false;  // if not, the client should get a new ticket
  };

  explicit TicketKeys(coordinator::Micros now_us);
  // The key for new tickets.
  Key Newest(coordinator::Micros now_us);
  // The key with this name (kNameBytes bytes); nullopt if it is unknown or too old.
  std::optional<FoundKey> Find(const unsigned char* name, coordinator::Micros now_us);

 private:
  void RotateIfDue(coordinator::Micros now_us);
  static Key GenerateKey();

  std::mutex mutex_;  // guards everything below
  Key newest_;
  std::optional<Key> previous_;
  coordinator::Micros newest_created_us_ = 0;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_TLS_TICKET_KEYS_H_
