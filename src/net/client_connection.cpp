#include "net/client_connection.h"

#include <algorithm>

namespace liftrudder::net {
namespace {

constexpr int kMaxReads = 16;                                     // per Read, of at most kReadBytes each
constexpr std::size_t kMaxRecordPlaintextBytes = 16 * 1024;       // encrypted at once: one TLS record
constexpr char kInternalErrorAlert[] = "\x15\x03\x03\0\2\2\x50";  // RFC 8446 section 6: fatal, internal_error

}  // namespace

IoStatus ClientConnection::Read(std::string& plain) {
  if (context_ == nullptr) return ReadSome(fd_, plain, 0);
  if (!probed_.empty()) {
    plain += probed_;
    probed_.clear();
    return IoStatus::kOk;
  }
  std::size_t size_before = plain.size();
  for (int i = 0; i < kMaxReads && plain.size() == size_before; ++i) {
    if (channel_ != nullptr && channel_->state() == TlsChannel::State::kEnded) return IoStatus::kEnd;
    if (channel_ != nullptr && channel_->state() == TlsChannel::State::kFailed) return IoStatus::kError;
    std::string arrived;
    std::string wire;
    IoStatus status = ReadNow(fd_, arrived);
    if (status == IoStatus::kEnd) return IoStatus::kError;  // TCP ended without a TLS close_notify
    if (status != IoStatus::kOk) return status;
    if (channel_ == nullptr) channel_ = std::make_unique<TlsChannel>(context_);
    channel_->Feed(arrived, plain, wire);
    // A handshake flight fits into the socket's send buffer, so a partial write means that the client does
    // not read.
    if (!wire.empty() && WriteAll(fd_, wire, 0).status != IoStatus::kOk) return IoStatus::kError;
  }
  return plain.size() > size_before ? IoStatus::kOk : IoStatus::kTimeout;
}

WriteResult ClientConnection::Write(std::string_view plain, Micros wait_us) {
  if (context_ == nullptr) return WriteAll(fd_, plain, wait_us);
  SteadyClock clock;
  Micros until_us = clock.Now() + wait_us;
  WriteResult written;
  std::string wire;
  while (written.bytes < plain.size()) {
    std::string_view next = plain.substr(written.bytes, kMaxRecordPlaintextBytes);
    wire.clear();
    if (channel_ == nullptr || !channel_->Encrypt(next, wire)) return {IoStatus::kError, written.bytes};
    IoStatus status = WriteAll(fd_, wire, std::max<Micros>(0, until_us - clock.Now())).status;
    if (status != IoStatus::kOk) return {status, written.bytes};
    written.bytes += next.size();
  }
  return written;
}

SocketState ClientConnection::Probe() {
  if (!probed_.empty()) return SocketState::kBytes;
  SocketState raw = Peek(fd_.Get());
  if (context_ == nullptr || raw != SocketState::kBytes) return raw;
  switch (Read(probed_)) {
    case IoStatus::kOk:
      return SocketState::kBytes;
    case IoStatus::kTimeout:
      return SocketState::kNothing;
    default:
      return SocketState::kEnd;
  }
}

VerifiedPeer ClientConnection::Peer(Micros now_us) {
  const TlsPeer* peer = channel_ == nullptr ? nullptr : channel_->peer();
  if (peer == nullptr) return {};
  std::shared_ptr<const TlsContext> current = reloadable_context_->Get();
  if (current->config().client_ca.empty()) return {};
  if (current != verified_against_ || now_us - verified_us_ >= kReverifyIntervalUs) {
    peer_error_ = current->Verify(*peer);
    verified_against_ = std::move(current);
    verified_us_ = now_us;
  }
  return {peer, peer_error_};
}

Fd ClientConnection::Finish() {
  if (context_ != nullptr) {
    std::string wire;
    if (channel_ == nullptr) {
      wire.assign(kInternalErrorAlert, sizeof kInternalErrorAlert - 1);
    } else {
      channel_->Close(wire);
    }
    if (!wire.empty()) WriteAll(fd_, wire, 0);
  }
  return Release();
}

}  // namespace liftrudder::net
