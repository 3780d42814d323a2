#include "baobabward/transport.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>
#include <zmq.h>

#include "baobabward/clock.h"
#include "baobabward/config.h"
#include "libwire/transport_private.h"
#include "libwire/transport_tsan.h"

/*
 * Sockets of one transport: a DEALER for each host of the longest list, and
 * some for other purposes.
 */
#define SOCKETS_MAX (BB_LIST_MAX + 16)
/* Interval at which connections are looked at for heartbeats. */
#define HEARTBEAT_CHECK_US (20 * BB_US_PER_MS)
/* After a longer pause of this thread, heartbeats may have been returned and not
 * read yet. */
#define HEARTBEAT_PAUSE_US (1 * BB_US_PER_S)
/* Largest number of events read from the epoll set at once. */
#define EVENTS_MAX 64

/**
 * struct bb_received_message - see transport.h.
 * @sender: where the message came from
 * @decoded: refers to @payload
 * @payload: ZeroMQ frame with the encoded message
 */
struct bb_received_message {
	struct bb_sender sender;
	struct bb_decoded_message *decoded;
	zmq_msg_t payload;
};

static void peers_delete(struct bb_transport *t, struct bb_peer *peers,
			 size_t nr)
{
	for (size_t i = 0; i < nr; i++) {
		bb_link_delete(t, peers[i].link);
		g_free(peers[i].endpoint);
	}
	g_free(peers);
}

/* Copies the peers of @from, without connections; NULL if one is invalid. */
static struct bb_peer *peers_new(struct bb_transport *t,
				 const struct bb_transport_peer *from,
				 size_t nr, struct bb_error *err)
{
	struct bb_peer *peers = g_new0(struct bb_peer, nr + 1);

	for (size_t i = 0; i < nr; i++) {
		const char *key = from[i].curve_key ? from[i].curve_key : "";
		bool ipv6 = strchr(from[i].address, ':');

		if (*key && strlen(key) != BB_CURVE_KEY_SIZE) {
			bb_error_set(
				err, BB_ERROR_INVALID,
				"CURVE public key of peer %s does not have 40 "
				"characters",
				from[i].address);
			peers_delete(t, peers, i);
			return NULL;
		}
		g_strlcpy(peers[i].curve_key, key, sizeof(peers[i].curve_key));
		g_strlcpy(peers[i].name, from[i].name ? from[i].name : "",
			  sizeof(peers[i].name));
		peers[i].endpoint = g_strdup_printf(
			ipv6 ? "tcp://[%s]:%u" : "tcp://%s:%u", from[i].address,
			(unsigned int)from[i].port);
	}
	return peers;
}

/* Fills hosts_by_key from the peer list. */
static void index_keys(struct bb_transport *t)
{
	g_hash_table_remove_all(t->hosts_by_key);
	for (size_t i = 0; i < t->peers_nr; i++) {
		struct bb_peer *p = &t->peers[i];
		char *key = t->o.curve_secret_key ? p->curve_key : p->name;

		if (*key)
			g_hash_table_insert(t->hosts_by_key, key,
					    GSIZE_TO_POINTER(i + 1));
	}
}

/* Moves the connections of the current list to the same peers in @peers. */
static void move_links(struct bb_transport *t, struct bb_peer *peers, size_t nr)
{
	GHashTable *by_endpoint = g_hash_table_new(g_str_hash, g_str_equal);
	struct bb_peer *p, *old;

	for (size_t i = 0; i < t->peers_nr; i++)
		g_hash_table_insert(by_endpoint, t->peers[i].endpoint,
				    &t->peers[i]);
	for (size_t i = 0; i < nr; i++) {
		p = &peers[i];
		old = g_hash_table_lookup(by_endpoint, p->endpoint);
		if (!old || !old->link ||
		    strcmp(old->curve_key, p->curve_key) != 0)
			continue;
		p->link = old->link;
		p->link->host = (uint32_t)i;
		old->link = NULL;
	}
	g_hash_table_destroy(by_endpoint);
}

/* Keeps the connections that move_links() has left in the current list, which may
 * still bring answers. @nr peers follow. */
static void keep_links(struct bb_transport *t, size_t nr)
{
	for (size_t i = 0; t->o.keep_removed && i < t->peers_nr; i++) {
		struct bb_link *l = t->peers[i].link;

		if (!l)
			continue;
		l->host = BB_NO_ROW;
		g_queue_push_tail(&t->removed, l);
		t->peers[i].link = NULL;
	}
	while (!g_queue_is_empty(&t->removed) &&
	       g_queue_get_length(&t->removed) + nr > BB_LIST_MAX)
		bb_link_delete(t, g_queue_pop_head(&t->removed));
}

int bb_transport_update(struct bb_transport *t,
			const struct bb_transport_peer *from, size_t nr,
			struct bb_error *err)
{
	struct bb_peer *peers;

	if (nr > BB_LIST_MAX)
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"peer list of %zu entries is over the limit", nr);
	peers = peers_new(t, from, nr, err);
	if (!peers)
		return -1;
	move_links(t, peers, nr);
	keep_links(t, nr);
	g_hash_table_remove_all(t->hosts_by_key);
	peers_delete(t, t->peers, t->peers_nr);
	t->peers = peers;
	t->peers_nr = nr;
	index_keys(t);
	return 0;
}

/* Copies the secret key and derives the public key. */
static int set_keys(struct bb_transport *t, struct bb_error *err)
{
	if (!t->o.curve_secret_key)
		return 0;
	if (strlen(t->o.curve_secret_key) != BB_CURVE_KEY_SIZE ||
	    zmq_curve_public(t->public_key, t->o.curve_secret_key))
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"the CURVE secret key of this node is invalid");
	memcpy(t->secret_key, t->o.curve_secret_key, sizeof(t->secret_key));
	t->o.curve_secret_key = t->secret_key;
	return 0;
}

static int bind_router(struct bb_transport *t, struct bb_error *err)
{
	bool ipv6 = strchr(t->o.address, ':');
	char port[16] = "*", endpoint[256];
	size_t size = sizeof(endpoint);

	if (t->o.port)
		g_snprintf(port, sizeof(port), "%u", (unsigned int)t->o.port);
	g_snprintf(endpoint, sizeof(endpoint),
		   ipv6 ? "tcp://[%s]:%s" : "tcp://%s:%s", t->o.address, port);
	if (zmq_bind(t->router->socket, endpoint))
		return bb_error_set(err, BB_ERROR_IO, "cannot bind to %s: %s",
				    endpoint, zmq_strerror(errno));
	if (zmq_getsockopt(t->router->socket, ZMQ_LAST_ENDPOINT, endpoint,
			   &size))
		return bb_error_set(err, BB_ERROR_IO,
				    "cannot read the endpoint that the ROUTER "
				    "socket is bound to");
	t->port = (uint16_t)strtoul(strrchr(endpoint, ':') + 1, NULL, 10);
	return 0;
}

static int open_sockets(struct bb_transport *t, struct bb_error *err)
{
	t->context = zmq_ctx_new();
	t->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (!t->context || t->epoll_fd < 0 ||
	    zmq_ctx_set(t->context, ZMQ_MAX_SOCKETS, SOCKETS_MAX))
		return bb_error_set(
			err, BB_ERROR_IO,
			"cannot create the ZeroMQ context or the epoll "
			"set: %s",
			zmq_strerror(errno));
	/* The ZAP handler must be bound before the first handshake. */
	if (t->o.curve_secret_key) {
		t->zap = bb_link_new(t, BB_LINK_ZAP, err);
		if (!t->zap)
			return -1;
		if (zmq_bind(t->zap->socket, "inproc://zeromq.zap.01"))
			return bb_error_set(
				err, BB_ERROR_IO,
				"cannot bind the socket of the ZAP handler");
	}
	t->router = bb_link_new(t, BB_LINK_ROUTER, err);
	if (!t->router)
		return -1;
	return bind_router(t, err);
}

static void set_defaults(struct bb_transport_options *o)
{
	if (!o->send_queue_limit)
		o->send_queue_limit = BB_TRANSPORT_SEND_QUEUE_MESSAGES;
	if (!o->max_message_size)
		o->max_message_size = BB_WIRE_SIZE_MAX;
	if (!o->heartbeat_interval_ms)
		o->heartbeat_interval_ms = BB_TRANSPORT_HEARTBEAT_INTERVAL_MS;
	if (!o->heartbeat_timeout_ms)
		o->heartbeat_timeout_ms = BB_TRANSPORT_HEARTBEAT_TIMEOUT_MS;
	if (!o->handshake_timeout_ms)
		o->handshake_timeout_ms = BB_TRANSPORT_HANDSHAKE_TIMEOUT_MS;
}

struct bb_transport *bb_transport_new(const struct bb_transport_options *o,
				      struct bb_error *err)
{
	struct bb_transport *t = g_new0(struct bb_transport, 1);

	t->o = *o;
	if (o->name) {
		g_strlcpy(t->name, o->name, sizeof(t->name));
		t->o.name = t->name;
	}
	t->epoll_fd = -1;
	g_queue_init(&t->removed);
	g_queue_init(&t->ready);
	t->hosts_by_key = g_hash_table_new(g_str_hash, g_str_equal);
	set_defaults(&t->o);
	if (set_keys(t, err) ||
	    bb_transport_update(t, o->peers, o->peers_nr, err) ||
	    open_sockets(t, err)) {
		bb_transport_delete(t);
		return NULL;
	}
	t->o.peers = NULL;
	t->o.address = NULL;
	return t;
}

void bb_transport_delete(struct bb_transport *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->hosts_by_key);
	peers_delete(t, t->peers, t->peers_nr);
	while (!g_queue_is_empty(&t->removed))
		bb_link_delete(t, g_queue_pop_head(&t->removed));
	bb_link_delete(t, t->router);
	bb_link_delete(t, t->zap);
	if (t->context)
		zmq_ctx_term(t->context);
	if (t->epoll_fd >= 0)
		close(t->epoll_fd);
	g_queue_clear(&t->ready);
	explicit_bzero(t->secret_key, sizeof(t->secret_key));
	g_free(t);
}

uint16_t bb_transport_port(const struct bb_transport *t)
{
	return t->port;
}

int bb_transport_fd(const struct bb_transport *t)
{
	return t->epoll_fd;
}

int bb_transport_connect(struct bb_transport *t, uint32_t host,
			 struct bb_error *err)
{
	struct bb_peer *p;
	struct bb_link *l;

	if (host >= t->peers_nr)
		return bb_error_set(err, BB_ERROR_NOT_FOUND,
				    "host index %u is not in the peer list",
				    host);
	p = &t->peers[host];
	if (p->link)
		return 0;
	l = bb_link_new(t, BB_LINK_DEALER, err);
	if (!l)
		return -1;
	l->host = host;
	if (bb_link_connect(t, l, p, err)) {
		bb_link_delete(t, l);
		return -1;
	}
	p->link = l;
	return 0;
}

/**
 * struct counted_payload - encoded message until it has been sent.
 * @memory: accounting
 * @claim: counts the message
 */
struct counted_payload {
	struct bb_body_memory *memory;
	struct bb_body_claim claim;
};

/* Runs on a thread of ZeroMQ. */
static void free_payload(void *data, void *hint)
{
	struct counted_payload *p = hint;

	BB_TSAN_ACQUIRE(data);
	free(data);
	if (p)
		bb_body_claim_end(p->memory, &p->claim);
	g_free(p);
}

/* Counts a message with a body until it has been sent. It is not refused: the
 * number of copies is bounded by that of the requests that were admitted. */
static struct counted_payload *count_payload(struct bb_transport *t,
					     size_t size)
{
	struct counted_payload *p;

	if (!t->o.memory || size <= BB_BODY_SMALL_BYTES)
		return NULL;
	p = g_new0(struct counted_payload, 1);
	p->memory = t->o.memory;
	bb_body_claim_begin(p->memory, &p->claim, BB_BODY_FORWARDED, 0, 0, 0);
	bb_body_claim_force(p->memory, &p->claim, size);
	return p;
}

/* Counts a failed send and reports its errno. */
static int send_failed(struct bb_transport *t, struct bb_error *err)
{
	t->stats.send_failures++;
	bb_metrics_add(BB_METRIC_PEER_MESSAGES_DROPPED, 1);
	if (errno == EHOSTUNREACH)
		return bb_error_set(
			err, BB_ERROR_NOT_FOUND,
			"cannot reply: the connection of the sender is "
			"closed");
	if (errno == EAGAIN)
		return bb_error_set(
			err, BB_ERROR_FULL,
			"cannot send: the peer is not connected or its "
			"send queue is full");
	return bb_error_set(err, BB_ERROR_IO, "cannot send a message: %s",
			    zmq_strerror(errno));
}

/* Whether requests carry the name of their sender. */
static bool has_name_frame(const struct bb_transport *t)
{
	return t->o.name && !t->o.curve_secret_key;
}

/*
 * Sends the frame ahead of the payload, if any: the routing id of a reply, or
 * the name of the node that sends a request.
 */
static int send_envelope(struct bb_transport *t, struct bb_link *l,
			 const struct bb_sender *to)
{
	if (to)
		return zmq_send(l->socket, to->routing_id, BB_ROUTING_ID_SIZE,
				ZMQ_DONTWAIT | ZMQ_SNDMORE);
	if (!has_name_frame(t))
		return 0;
	return zmq_send(l->socket, t->name, strlen(t->name),
			ZMQ_DONTWAIT | ZMQ_SNDMORE);
}

/* Sends @m on a socket, as the frames [routing id or name,] payload. */
static int send_message(struct bb_transport *t, struct bb_link *l,
			const struct bb_sender *to, const struct bb_message *m,
			struct bb_error *err)
{
	size_t size;
	char *data = bb_wire_encode(m, &size, err);
	struct counted_payload *counted;
	zmq_msg_t payload;

	if (!data)
		return -1;
	if (size > t->o.max_message_size) {
		free(data);
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"message of %zu bytes is over the limit of this "
			"transport",
			size);
	}
	/* The send may consume the edge that announces input: check later. */
	bb_link_mark_ready(t, l);
	if (send_envelope(t, l, to) < 0) {
		free(data);
		return send_failed(t, err);
	}
	counted = count_payload(t, size);
	BB_TSAN_RELEASE(data);
	if (zmq_msg_init_data(&payload, data, size, free_payload, counted)) {
		free_payload(data, counted);
		return bb_error_set(err, BB_ERROR_NO_MEMORY, "out of memory");
	}
	if (zmq_msg_send(&payload, l->socket, ZMQ_DONTWAIT) < 0) {
		int saved = errno;

		zmq_msg_close(&payload);
		errno = saved;
		return send_failed(t, err);
	}
	l->last_traffic_us = t->now_us;
	bb_metrics_add(t->o.bytes_out_metric, size);
	return 0;
}

int bb_transport_send(struct bb_transport *t, uint32_t host,
		      const struct bb_message *m, struct bb_error *err)
{
	if (bb_transport_connect(t, host, err))
		return -1;
	return send_message(t, t->peers[host].link, NULL, m, err);
}

int bb_transport_reply(struct bb_transport *t, const struct bb_sender *to,
		       const struct bb_message *m, struct bb_error *err)
{
	if (!to->is_request)
		return bb_transport_send(t, to->host, m, err);
	return send_message(t, t->router, to, m, err);
}

bool bb_transport_connected(struct bb_transport *t, uint32_t host)
{
	struct bb_link *l = host < t->peers_nr ? t->peers[host].link : NULL;
	int events = 0;
	size_t size = sizeof(events);

	if (!l)
		return false;
	/* Reading ZMQ_EVENTS may consume the edge, as a send may. */
	bb_link_mark_ready(t, l);
	return !zmq_getsockopt(l->socket, ZMQ_EVENTS, &events, &size) &&
	       events & ZMQ_POLLOUT;
}

void bb_transport_disconnect(struct bb_transport *t, uint32_t host)
{
	if (host >= t->peers_nr)
		return;
	bb_link_delete(t, t->peers[host].link);
	t->peers[host].link = NULL;
}

/*
 * A heartbeat is a message with an empty payload, which the peer returns. ZMTP
 * has heartbeats of its own, but libzmq 4.3.4 aborts the process if it has one
 * to answer on a connection that has failed, as after a pause of the process.
 */
static int send_heartbeat(struct bb_transport *t, struct bb_link *l,
			  const struct bb_sender *to)
{
	bb_link_mark_ready(t, l);
	if (send_envelope(t, l, to) >= 0 &&
	    zmq_send(l->socket, "", 0, ZMQ_DONTWAIT) >= 0)
		return 0;
	t->stats.send_failures++;
	return -1;
}

/* Replaces the connection to a peer that has not returned a heartbeat, and sends
 * one if nothing was received for a while. */
static void check_heartbeat(struct bb_transport *t, uint32_t host,
			    int64_t now_us)
{
	struct bb_link *l = t->peers[host].link;

	if (l->heartbeat_us > l->heard_us) {
		if (now_us - l->heartbeat_us >
		    t->o.heartbeat_timeout_ms * BB_US_PER_MS)
			bb_transport_disconnect(t, host);
		return;
	}
	if (now_us - l->heard_us < t->o.heartbeat_interval_ms * BB_US_PER_MS)
		return;
	/* Without a connection, libzmq is connecting already. */
	if (!send_heartbeat(t, l, NULL))
		l->heartbeat_us = now_us;
	else
		l->heard_us = now_us;
}

static void check_heartbeats(struct bb_transport *t)
{
	int64_t now_us = bb_clock_now_us();
	int64_t since_us = now_us - t->heartbeats_us;

	if (t->o.heartbeat_interval_ms < 0 || since_us < HEARTBEAT_CHECK_US)
		return;
	t->heartbeats_us = now_us;
	for (size_t i = 0; i < t->peers_nr; i++) {
		struct bb_link *l = t->peers[i].link;

		if (!l)
			continue;
		if (since_us >= HEARTBEAT_PAUSE_US &&
		    l->heartbeat_us > l->heard_us)
			l->heartbeat_us = now_us;
		check_heartbeat(t, (uint32_t)i, now_us);
	}
}

static bool is_idle(struct bb_link *l, int64_t now_us, int64_t idle_us)
{
	/* Opened before the first call, when the time was unknown. */
	if (!l->last_traffic_us)
		l->last_traffic_us = now_us;
	return now_us - l->last_traffic_us > idle_us;
}

void bb_transport_close_idle(struct bb_transport *t, int64_t now_us,
			     int64_t idle_us)
{
	GList *next;

	t->now_us = now_us;
	for (size_t i = 0; i < t->peers_nr; i++) {
		struct bb_link *l = t->peers[i].link;

		if (l && is_idle(l, now_us, idle_us))
			bb_transport_disconnect(t, (uint32_t)i);
	}
	for (GList *i = t->removed.head; i; i = next) {
		next = i->next;
		if (!is_idle(i->data, now_us, idle_us))
			continue;
		bb_link_delete(t, i->data);
		g_queue_delete_link(&t->removed, i);
	}
}

/* Drops the remaining frames of a message that has too many. */
static void discard_frames(struct bb_link *l, zmq_msg_t *frame)
{
	while (zmq_msg_more(frame)) {
		if (zmq_msg_recv(frame, l->socket, ZMQ_DONTWAIT) < 0)
			return;
	}
}

/* Finds the host with a key or name in the current peer list. */
static bool find_host(struct bb_transport *t, const char *key,
		      struct bb_sender *sender)
{
	gpointer host = key ? g_hash_table_lookup(t->hosts_by_key, key) : NULL;

	if (!host) {
		t->stats.unknown_peers++;
		return false;
	}
	sender->host = (uint32_t)GPOINTER_TO_SIZE(host) - 1;
	return true;
}

/* Reads the name frame, if any, and finds the host that sent a request. */
static bool read_sender(struct bb_transport *t, struct bb_link *l,
			struct bb_received_message *r)
{
	zmq_msg_t *frame = &r->payload;
	char name[BB_NAME_MAX + 1];
	size_t size = zmq_msg_size(frame);

	r->sender.host = BB_NO_ROW;
	if (t->o.curve_secret_key)
		return find_host(t, zmq_msg_gets(frame, "User-Id"), &r->sender);
	if (!has_name_frame(t))
		return true;
	if (size > BB_NAME_MAX || !zmq_msg_more(frame))
		return false;
	memcpy(name, zmq_msg_data(frame), size);
	name[size] = '\0';
	return zmq_msg_recv(frame, l->socket, ZMQ_DONTWAIT) >= 0 &&
	       find_host(t, name, &r->sender);
}

/* Reads the frames of one message; @found is false if there is no message. */
static bool read_frames(struct bb_transport *t, struct bb_link *l,
			struct bb_received_message *r, bool *found)
{
	zmq_msg_t *frame = &r->payload;
	bool ok = true;

	*found = zmq_msg_recv(frame, l->socket, ZMQ_DONTWAIT) >= 0;
	if (!*found)
		return false;
	r->sender.is_request = l->kind == BB_LINK_ROUTER;
	r->sender.host = l->host;
	if (r->sender.is_request) {
		ok = zmq_msg_size(frame) == BB_ROUTING_ID_SIZE &&
		     zmq_msg_more(frame);
		if (ok) {
			memcpy(r->sender.routing_id, zmq_msg_data(frame),
			       BB_ROUTING_ID_SIZE);
			ok = zmq_msg_recv(frame, l->socket, ZMQ_DONTWAIT) >=
				     0 &&
			     read_sender(t, l, r);
		}
	}
	if (!ok || zmq_msg_more(frame)) {
		discard_frames(l, frame);
		return false;
	}
	return true;
}

/*
 * Reads one message. Returns NULL with @found false if the socket is empty, and
 * with @found true if the message is refused.
 */
static struct bb_received_message *
receive_from_link(struct bb_transport *t, struct bb_link *l, bool *found)
{
	struct bb_received_message *r = g_new0(struct bb_received_message, 1);
	size_t size;

	zmq_msg_init(&r->payload);
	if (!read_frames(t, l, r, found)) {
		if (*found)
			goto bad;
		goto none;
	}
	l->heard_us = bb_clock_now_us();
	size = zmq_msg_size(&r->payload);
	if (!size) {
		if (l->kind == BB_LINK_ROUTER)
			send_heartbeat(t, l, &r->sender);
		goto none;
	}
	l->last_traffic_us = t->now_us;
	bb_metrics_add(t->o.bytes_in_metric, size);
	r->decoded = bb_wire_decode(zmq_msg_data(&r->payload), size, NULL);
	if (r->decoded)
		return r;
	t->stats.bad_messages++;
bad:
	bb_metrics_add(BB_METRIC_PEER_MESSAGES_BAD, 1);
none:
	bb_received_message_delete(r);
	return NULL;
}

/* Adds the sockets with an event to the ready queue. */
static void collect_ready_links(struct bb_transport *t)
{
	struct epoll_event events[EVENTS_MAX];
	int nr = epoll_wait(t->epoll_fd, events, EVENTS_MAX, 0);

	for (int i = 0; i < nr; i++)
		bb_link_mark_ready(t, events[i].data.ptr);
}

struct bb_received_message *bb_transport_receive(struct bb_transport *t)
{
	struct bb_received_message *r = NULL;
	struct bb_link *l;
	bool found;

	if (g_queue_is_empty(&t->ready))
		collect_ready_links(t);
	while (!r && (l = g_queue_pop_head(&t->ready))) {
		l->in_ready_queue = false;
		if (l->kind == BB_LINK_ZAP)
			found = bb_zap_serve(t);
		else
			r = receive_from_link(t, l, &found);
		/* To the end of the queue, so that each peer gets its turn. */
		if (found)
			bb_link_mark_ready(t, l);
		if (!r && g_queue_is_empty(&t->ready))
			collect_ready_links(t);
	}
	if (!r)
		check_heartbeats(t);
	return r;
}

const struct bb_message *
bb_received_message_get(const struct bb_received_message *r)
{
	return bb_decoded_message_get(r->decoded);
}

const struct bb_sender *
bb_received_message_sender(const struct bb_received_message *r)
{
	return &r->sender;
}

const char *bb_received_message_sender_name(const struct bb_transport *t,
					    const struct bb_received_message *r)
{
	const char *name = r->sender.host < t->peers_nr ?
				   t->peers[r->sender.host].name :
				   "";

	return *name ? name : NULL;
}

void bb_received_message_rebind(struct bb_received_message *r, uint32_t host)
{
	r->sender.host = host;
}

void bb_received_message_delete(struct bb_received_message *r)
{
	if (!r)
		return;
	bb_decoded_message_delete(r->decoded);
	zmq_msg_close(&r->payload);
	g_free(r);
}

void bb_transport_stats(const struct bb_transport *t,
			struct bb_transport_stats *stats)
{
	*stats = t->stats;
	stats->connections = t->removed.length;
	for (size_t i = 0; i < t->peers_nr; i++)
		stats->connections += t->peers[i].link != NULL;
}
