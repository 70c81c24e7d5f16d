// Writes requests and cancellations to pooled connections and reads responses from them. The caller chooses
// the connection; no call waits for a socket. Runs on the pool's thread and on its callers' threads, under
// the pool's lock.
#ifndef LIFTRUDDER_NET_ENDPOINT_CONNECTION_IO_H_
#define LIFTRUDDER_NET_ENDPOINT_CONNECTION_IO_H_

#include <optional>
#include <string>
#include <vector>

#include "metrics/metrics.h"
#include "metrics/operator_figures.h"
#include "net/endpoint_connection_table.h"

namespace liftrudder::net {

class EndpointConnectionIo {
 public:
  // All references must outlive this object.
  EndpointConnectionIo(const EndpointProtocol& protocol, const coordinator::EndpointResolver& resolver,
                       const coordinator::Clock& clock, metrics::Counters& counters,
                       metrics::OperatorFigures& figures, AttemptRegistry& attempts,
                       EndpointConnectionTable& connections);

  // Why a request that has not begun to be written must not be sent: its client has disconnected, its
  // endpoint was removed or is past its drain deadline, or the attempt's deadline or latest send time has
  // passed. Nullopt if it may be sent.
  std::optional<coordinator::Cause> ReasonNotToSend(const coordinator::AttemptRequest& request) const;

  // Adds the attempt to the connection's next frame; Flush writes it.
  void AddToFrame(ConnectionId id, EndpointConnection& connection, const coordinator::AttemptKey& key,
                  Attempt& attempt);
  // Undoes AddToFrame, as long as no byte of the frame has been written.
  void RemoveFromFrame(EndpointConnection& connection, const coordinator::AttemptKey& key);
  // Queues a cancellation behind the frame being written. May close the connection.
  void SendCancellation(ConnectionId id, EndpointConnection& connection, const std::string& attempt_id);
  // Writes as much as the socket accepts. Returns false if the connection was closed.
  bool Flush(ConnectionId id, EndpointConnection& connection);
  // Reads a bounded number of available bytes and ends the attempts that they answer. Returns false if the
  // connection was closed.
  bool Receive(ConnectionId id, EndpointConnection& connection);

 private:
  void BeginCancellationFrame(EndpointConnection& connection) const;
  bool EncodeFrame(EndpointConnection& connection);
  void FinishFrame(EndpointConnection& connection);
  void RequeueFrame(EndpointConnection& connection);
  void HandleWriteError(ConnectionId id, EndpointConnection& connection);
  bool CloseIfInputPrecedesRequest(ConnectionId id, EndpointConnection& connection);
  DecodeStatus Decode(EndpointConnection& connection, IoStatus read_status);
  void CloseAfter(DecodeStatus status, ConnectionId id, EndpointConnection& connection);
  bool Complete(EndpointConnection& connection, EndpointResponse response);

  const EndpointProtocol& protocol_;
  const coordinator::EndpointResolver& resolver_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  metrics::OperatorFigures& figures_;
  AttemptRegistry& attempts_;
  EndpointConnectionTable& connections_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_CONNECTION_IO_H_
