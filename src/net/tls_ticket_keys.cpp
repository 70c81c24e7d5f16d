#include "net/tls_ticket_keys.h"

#include <openssl/rand.h>

#include <cstring>

namespace liftrudder::net {

TicketKeys::TicketKeys(coordinator::Micros now_us) : newest_(GenerateKey()), newest_created_us_(now_us) {}

TicketKeys::Key TicketKeys::GenerateKey() {
  Key key;
  RAND_bytes(key.name.data(), static_cast<int>(key.name.size()));
  RAND_bytes(key.cipher.data(), static_cast<int>(key.cipher.size()));
  RAND_bytes(key.mac.data(), static_cast<int>(key.mac.size()));
  return key;
}

void TicketKeys::RotateIfDue(coordinator::Micros now_us) {
  coordinator::Micros age_us = now_us - newest_created_us_;
  if (age_us < kRotationIntervalUs) return;
  previous_.reset();
  if (age_us < 2 * kRotationIntervalUs) previous_ = newest_;
  newest_ = GenerateKey();
  newest_created_us_ = now_us;
}

TicketKeys::Key TicketKeys::Newest(coordinator::Micros now_us) {
  std::lock_guard lock(mutex_);
  RotateIfDue(now_us);
  return newest_;
}

std::optional<TicketKeys::FoundKey> TicketKeys::Find(const unsigned char* name, coordinator::Micros now_us) {
  std::lock_guard lock(mutex_);
  RotateIfDue(now_us);
  auto has_name = [name](const Key& key) { return std::memcmp(name, key.name.data(), kNameBytes) == 0; };
  if (has_name(newest_)) return FoundKey{newest_, true};
  if (previous_ && has_name(*previous_)) return FoundKey{*previous_, false};
  return std::nullopt;
}

}  // namespace liftrudder::net
