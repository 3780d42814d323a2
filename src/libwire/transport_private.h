/*
 * State of a transport, shared by transport.c, its links and its ZAP handler. A
 * link is one ZeroMQ socket.
 */
#ifndef BB_TRANSPORT_PRIVATE_H
#define BB_TRANSPORT_PRIVATE_H

#include <glib.h>

#include "baobabward/transport.h"

/**
 * enum bb_link_kind - purpose of a socket.
 * @BB_LINK_ROUTER: receives requests of other nodes and sends the replies
 * @BB_LINK_DEALER: sends requests to one peer and receives its replies
 * @BB_LINK_ZAP: receives the authentication requests of libzmq
 */
enum bb_link_kind { BB_LINK_ROUTER, BB_LINK_DEALER, BB_LINK_ZAP };

/**
 * struct bb_link - one socket.
 * @kind: purpose of the socket
 * @socket: ZeroMQ socket
 * @fd: its event descriptor, registered with the epoll set
 * @host: host index of a DEALER's peer, BB_NO_ROW if the peer was removed
 * @last_traffic_us: time of the last send or receive of a DEALER
 * @heard_us: time of the last receive of a DEALER, or of its creation
 * @heartbeat_us: time of the last heartbeat that it sent, 0 for none
 * @in_ready_queue: it is in the ready queue of the transport
 */
struct bb_link {
	enum bb_link_kind kind;
	void *socket;
	int fd;
	uint32_t host;
	int64_t last_traffic_us;
	int64_t heard_us;
	int64_t heartbeat_us;
	bool in_ready_queue;
};

/**
 * struct bb_peer - a peer and its connection, if any.
 * @endpoint: tcp://address:port
 * @curve_key: public key in Z85, empty without encryption
 * @name: host name, empty if not given
 * @link: DEALER socket connected to the peer, or NULL
 */
struct bb_peer {
	char *endpoint;
	char curve_key[41];
	char name[BB_NAME_MAX + 1];
	struct bb_link *link;
};

/**
 * struct bb_transport - see transport.h.
 * @context: ZeroMQ context
 * @epoll_fd: epoll set with the event descriptors of all sockets
 * @port: TCP port that @router is bound to
 * @o: options; name and curve_secret_key refer to the copies below
 * @secret_key: own CURVE secret key in Z85
 * @public_key: own CURVE public key in Z85
 * @name: own host name
 * @router: socket for requests of other nodes
 * @zap: socket of the ZAP handler, NULL without encryption
 * @peers: peers by host index
 * @removed: DEALERs of removed peers, longest removed first
 * @ready: sockets that may have a message, each at most once
 * @hosts_by_key: public key, or host name without encryption, to host index
 *                plus 1
 * @now_us: time of the last bb_transport_close_idle()
 * @heartbeats_us: time of the last look at the heartbeats
 * @stats: counters; @connections is not kept up to date here
 */
struct bb_transport {
	void *context;
	int epoll_fd;
	uint16_t port;
	struct bb_transport_options o;
	char secret_key[41];
	char public_key[41];
	char name[BB_NAME_MAX + 1];
	struct bb_link *router;
	struct bb_link *zap;
	struct bb_peer *peers;
	size_t peers_nr;
	GQueue removed;
	GHashTable *hosts_by_key;
	GQueue ready;
	int64_t now_us;
	int64_t heartbeats_us;
	struct bb_transport_stats stats;
};

/**
 * bb_link_new() - create a socket with the options of the transport.
 * @t: transport
 * @kind: purpose of the socket
 * @err: set on failure
 *
 * Return: link, or NULL.
 */
struct bb_link *bb_link_new(struct bb_transport *t, enum bb_link_kind kind,
			    struct bb_error *err);

/**
 * bb_link_delete() - close a socket.
 * @t: transport
 * @l: link, may be NULL
 */
void bb_link_delete(struct bb_transport *t, struct bb_link *l);

/**
 * bb_link_connect() - connect a DEALER to its peer.
 * @t: transport
 * @l: link
 * @p: peer
 * @err: set on failure
 *
 * Return: 0, or -1.
 */
int bb_link_connect(struct bb_transport *t, struct bb_link *l,
		    const struct bb_peer *p, struct bb_error *err);

/**
 * bb_link_mark_ready() - note that a socket may have a message.
 * @t: transport
 * @l: link
 */
void bb_link_mark_ready(struct bb_transport *t, struct bb_link *l);

/**
 * bb_zap_serve() - answer one authentication request.
 * @t: transport
 *
 * Return: false if none is waiting.
 */
bool bb_zap_serve(struct bb_transport *t);

#endif
