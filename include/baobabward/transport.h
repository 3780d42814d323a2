/*
 * Messages between nodes over ZeroMQ. A transport is used by one thread.
 *
 * A bound ROUTER socket receives the requests of other nodes, and one DEALER
 * socket per peer, connected at the first send, sends requests to that peer
 * and receives its replies. A message is passed to ZeroMQ only while the
 * connection is established (ZMQ_IMMEDIATE) and the send queue has room, so a
 * failed send means that the peer cannot have received the message. After a
 * successful send the message may still be lost, but it is never sent twice:
 * when a connection breaks, its queue is discarded.
 *
 * Encryption: with a CURVE secret key, connections are encrypted and both ends
 * authenticate each other by the public keys of the peer list. An unknown
 * node, that is, one whose public key is not in the current peer list, is
 * refused during the handshake (ZAP status 400). Messages of a connected node
 * whose key has since been removed from the list are dropped. Both are counted
 * in struct bb_transport_stats @unknown_peers, and the latter also in
 * BB_METRIC_PEER_MESSAGES_BAD. Without a secret key any node can connect. Each
 * request then carries the sender's host name, which is not verified, and is
 * dropped and counted in the same way if the name is unknown.
 *
 * Polling: bb_transport_fd() is one descriptor for all sockets. ZeroMQ's own
 * descriptors are edge-triggered and a send can consume an edge, so the
 * descriptor may not be readable although a message is waiting. Before each
 * sleep on it, call bb_transport_receive() until it returns NULL. This also
 * answers the handshakes of connecting nodes, which wait for this thread.
 *
 * Cost of an idle connection: one heartbeat, an empty message that is returned,
 * per @heartbeat_interval_ms from the connecting side, and the queues of two
 * sockets. bb_transport_receive() sends heartbeats and replaces connections that
 * do not return them when no message is left; call it at shorter intervals than
 * theirs. Connections without traffic are closed by bb_transport_close_idle().
 */
#ifndef BAOBABWARD_TRANSPORT_H
#define BAOBABWARD_TRANSPORT_H

#include "baobabward/body_memory.h"
#include "baobabward/error.h"
#include "baobabward/metrics.h"
#include "baobabward/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Size in bytes of the routing id that a ROUTER socket gives a connection. */
#define BB_ROUTING_ID_SIZE 5

/* Defaults, used for an option that is 0. */
#define BB_TRANSPORT_SEND_QUEUE_MESSAGES 256
#define BB_TRANSPORT_HEARTBEAT_INTERVAL_MS 10000
#define BB_TRANSPORT_HEARTBEAT_TIMEOUT_MS 5000
#define BB_TRANSPORT_HANDSHAKE_TIMEOUT_MS 3000

/**
 * struct bb_transport_peer - address and public key of a peer.
 * @name: host name; used on connections without encryption
 * @address: IP address
 * @port: TCP port
 * @curve_key: public key in Z85; NULL or empty without encryption
 */
struct bb_transport_peer {
	const char *name;
	const char *address;
	uint16_t port;
	const char *curve_key;
};

/**
 * struct bb_transport_options - options of a transport.
 * @address: IP address to bind to
 * @port: TCP port to bind to, 0 for one chosen by the system
 * @name: own host name, sent with requests on connections without encryption;
 *        NULL to send and expect none
 * @curve_secret_key: own secret key in Z85, NULL for no encryption
 * @peers: peers by host index; copied
 * @peers_nr: number of @peers
 * @send_queue_limit: largest number of messages queued for one peer
 * @max_message_size: largest message in bytes, 0 for BB_WIRE_SIZE_MAX; a
 *                    connection that sends a larger one is closed
 * @heartbeat_interval_ms: interval of heartbeats on connections that this node
 *                         opened, negative for none
 * @heartbeat_timeout_ms: after a heartbeat, a connection that carries neither
 *                        its answer nor any other data for this time is
 *                        replaced
 * @handshake_timeout_ms: longest time for the handshake of a connection
 * @keep_removed: the connection to a peer that an update removes stays open for
 *                what the peer still sends on it, until it has no traffic
 * @memory: accounting of the memory of bodies, which counts messages to be sent;
 *          NULL for none
 * @bytes_in_metric: counter of received bytes
 * @bytes_out_metric: counter of sent bytes
 */
struct bb_transport_options {
	const char *address;
	uint16_t port;
	const char *name;
	const char *curve_secret_key;
	const struct bb_transport_peer *peers;
	size_t peers_nr;
	uint32_t send_queue_limit;
	uint32_t max_message_size;
	int32_t heartbeat_interval_ms;
	int32_t heartbeat_timeout_ms;
	int32_t handshake_timeout_ms;
	bool keep_removed;
	struct bb_body_memory *memory;
	enum bb_metric bytes_in_metric;
	enum bb_metric bytes_out_metric;
};

/**
 * struct bb_sender - sender of a received message.
 * @host: host index in the peer list at the time of receipt, or BB_NO_ROW
 * @is_request: the message is a request of another node; false for a reply on a
 *              connection that this node opened
 * @routing_id: routing id of the connection, valid if @is_request
 */
struct bb_sender {
	uint32_t host;
	bool is_request;
	uint8_t routing_id[BB_ROUTING_ID_SIZE];
};

/**
 * struct bb_transport_stats - counters since the start.
 * @unknown_peers: handshakes and messages refused because the key or the name
 *                 is not in the peer list
 * @bad_messages: messages refused as malformed
 * @send_failures: messages that ZeroMQ did not accept, reported as
 *                 BB_ERROR_FULL, BB_ERROR_NOT_FOUND or BB_ERROR_IO
 * @connections: peers to which this node has a socket now
 */
struct bb_transport_stats {
	uint64_t unknown_peers;
	uint64_t bad_messages;
	uint64_t send_failures;
	uint64_t connections;
};

/**
 * struct bb_transport - a transport, used by one thread.
 */
struct bb_transport;

/**
 * struct bb_received_message - a received message and its memory.
 */
struct bb_received_message;

/**
 * bb_transport_new() - create a transport and bind its receiving socket.
 * @o: options, copied
 * @err: set on failure
 *
 * Return: transport, or NULL.
 */
struct bb_transport *bb_transport_new(const struct bb_transport_options *o,
				      struct bb_error *err);

/**
 * bb_transport_delete() - close all sockets; unsent messages are discarded.
 * @t: transport, may be NULL
 */
void bb_transport_delete(struct bb_transport *t);

/**
 * bb_transport_port() - port that the transport is bound to.
 * @t: transport
 *
 * Return: TCP port.
 */
uint16_t bb_transport_port(const struct bb_transport *t);

/**
 * bb_transport_update() - replace the peer list by that of a new configuration.
 * @t: transport
 * @peers: peers by host index of the new configuration; copied
 * @peers_nr: number of @peers
 * @err: set on failure; the previous list then stays in use
 *
 * Connections to peers whose address, port and key are unchanged stay open even
 * if the host index changes. With @keep_removed, messages of removed peers have the
 * host index BB_NO_ROW. The host index in a struct bb_sender of an earlier
 * message refers to the earlier list.
 *
 * Return: 0, or -1.
 */
int bb_transport_update(struct bb_transport *t,
			const struct bb_transport_peer *peers, size_t peers_nr,
			struct bb_error *err);

/**
 * bb_transport_connect() - open the connection to a peer if there is none.
 * @t: transport
 * @host: host index
 * @err: set on failure
 *
 * The connection is established in the background.
 *
 * Return: 0, or -1.
 */
int bb_transport_connect(struct bb_transport *t, uint32_t host,
			 struct bb_error *err);

/**
 * bb_transport_send() - send a message to a peer.
 * @t: transport
 * @host: host index
 * @m: message
 * @err: BB_ERROR_FULL when the peer is not connected yet or its queue is
 *       full, BB_ERROR_NOT_FOUND for an index outside the peer list
 *
 * Never blocks. Opens the connection if there is none, so the first send to a
 * peer usually fails with BB_ERROR_FULL.
 *
 * Return: 0, or -1 when the peer cannot have received the message.
 */
int bb_transport_send(struct bb_transport *t, uint32_t host,
		      const struct bb_message *m, struct bb_error *err);

/**
 * bb_transport_reply() - send a message to the sender of another message.
 * @t: transport
 * @to: sender of that message, see bb_received_message_sender()
 * @m: message
 * @err: BB_ERROR_NOT_FOUND when that connection is closed, BB_ERROR_FULL when
 *       its queue is full
 *
 * Never blocks.
 *
 * Return: 0, or -1 when the peer cannot have received the message.
 */
int bb_transport_reply(struct bb_transport *t, const struct bb_sender *to,
		       const struct bb_message *m, struct bb_error *err);

/**
 * bb_transport_connected() - whether a message to a peer could be sent now.
 * @t: transport
 * @host: host index
 *
 * Also false while the send queue is full. A lost connection is not opened
 * again within 100 ms, so a caller that asks more often notices the loss.
 *
 * Return: true if it could.
 */
bool bb_transport_connected(struct bb_transport *t, uint32_t host);

/**
 * bb_transport_disconnect() - close the connection to a peer.
 * @t: transport
 * @host: host index
 *
 * For peers that the caller considers silent. The next send connects again.
 */
void bb_transport_disconnect(struct bb_transport *t, uint32_t host);

/**
 * bb_transport_close_idle() - close connections that this node opened and that
 * have no traffic.
 * @t: transport
 * @now_us: current time; also the time recorded for later sends and receives
 * @idle_us: longest time without a send or a receive
 */
void bb_transport_close_idle(struct bb_transport *t, int64_t now_us,
			     int64_t idle_us);

/**
 * bb_transport_fd() - descriptor to wait on for input, see the head of this
 * file.
 * @t: transport
 *
 * Return: descriptor that stays owned by the transport.
 */
int bb_transport_fd(const struct bb_transport *t);

/**
 * bb_transport_receive() - next message; also answers handshakes.
 * @t: transport
 *
 * Malformed messages are counted and skipped. Never blocks.
 *
 * Return: message that the caller frees with bb_received_message_delete(), or
 * NULL when there is none, after which the caller may sleep on the descriptor.
 */
struct bb_received_message *bb_transport_receive(struct bb_transport *t);

/**
 * bb_received_message_get() - message within a received message.
 * @r: received message
 *
 * Return: message that lives as long as @r.
 */
const struct bb_message *
bb_received_message_get(const struct bb_received_message *r);

/**
 * bb_received_message_sender() - sender of a received message.
 * @r: received message
 *
 * Return: sender that lives as long as @r; copy it to reply later.
 */
const struct bb_sender *
bb_received_message_sender(const struct bb_received_message *r);

/**
 * bb_received_message_sender_name() - name of the host that sent a message.
 * @t: transport that received it, not updated since then
 * @r: received message
 *
 * Return: name that lives until the next update of the peers, NULL if the sender
 * is not known or has no name.
 */
const char *
bb_received_message_sender_name(const struct bb_transport *t,
				const struct bb_received_message *r);

/**
 * bb_received_message_rebind() - give a received message the host index that its
 * sender has in a new list of peers.
 * @r: received message
 * @host: host index
 */
void bb_received_message_rebind(struct bb_received_message *r, uint32_t host);

/**
 * bb_received_message_delete() - free a received message.
 * @r: received message, may be NULL
 */
void bb_received_message_delete(struct bb_received_message *r);

/**
 * bb_transport_stats() - read the counters.
 * @t: transport
 * @stats: filled in
 */
void bb_transport_stats(const struct bb_transport *t,
			struct bb_transport_stats *stats);

#ifdef __cplusplus
}
#endif
#endif
