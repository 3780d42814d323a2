#include "libwire/transport_private.h"

#include <errno.h>
#include <sys/epoll.h>
#include <zmq.h>

#include "baobabward/clock.h"
#include "libwire/transport_tsan.h"

#ifdef BB_TSAN
/* Called by the sanitizer; see transport_tsan.h for the reason. */
const char *__tsan_default_suppressions(void);

const char *__tsan_default_suppressions(void)
{
	return "called_from_lib:libzmq.so.5\n";
}
#endif

/* TCP keepalive closes connections whose peer is gone at the receiving side,
 * which sends no heartbeats. */
#define KEEPALIVE_IDLE_S 30
#define KEEPALIVE_INTERVAL_S 10
#define KEEPALIVE_COUNT 3
/*
 * Time after which a connection whose data is not acknowledged is closed, so
 * that the next message opens a new one: a device between the hosts may have
 * lost the state of the connection. It is several round trips between regions.
 */
#define UNACKNOWLEDGED_TIMEOUT_MS 1500
/* Delay before a connection attempt; doubles up to the maximum. */
#define RECONNECT_DELAY_MS 100
#define RECONNECT_DELAY_MAX_MS 500
/* CURVE adds at most this many bytes to a message. */
#define CURVE_OVERHEAD_BYTES 64

static int set_int(struct bb_link *l, int option, int value)
{
	return zmq_setsockopt(l->socket, option, &value, sizeof(value));
}

static int set_common(struct bb_transport *t, struct bb_link *l)
{
	int64_t max_size =
		(int64_t)t->o.max_message_size + CURVE_OVERHEAD_BYTES;
	int queue = (int)t->o.send_queue_limit;

	return set_int(l, ZMQ_LINGER, 0) || set_int(l, ZMQ_SNDHWM, queue) ||
	       set_int(l, ZMQ_RCVHWM, queue) ||
	       zmq_setsockopt(l->socket, ZMQ_MAXMSGSIZE, &max_size,
			      sizeof(max_size)) ||
	       set_int(l, ZMQ_TCP_KEEPALIVE, 1) ||
	       set_int(l, ZMQ_TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S) ||
	       set_int(l, ZMQ_TCP_KEEPALIVE_INTVL, KEEPALIVE_INTERVAL_S) ||
	       set_int(l, ZMQ_TCP_KEEPALIVE_CNT, KEEPALIVE_COUNT) ||
	       set_int(l, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS) ||
	       set_int(l, ZMQ_HANDSHAKE_IVL, t->o.handshake_timeout_ms);
}

static int set_router(struct bb_transport *t, struct bb_link *l)
{
	static const char domain[] = "baobabward";

	if (set_int(l, ZMQ_ROUTER_MANDATORY, 1))
		return -1;
	if (!t->o.curve_secret_key)
		return 0;
	return zmq_setsockopt(l->socket, ZMQ_ZAP_DOMAIN, domain,
			      sizeof(domain) - 1) ||
	       set_int(l, ZMQ_CURVE_SERVER, 1) ||
	       zmq_setsockopt(l->socket, ZMQ_CURVE_SECRETKEY, t->secret_key,
			      sizeof(t->secret_key));
}

static int set_dealer(struct bb_link *l)
{
	if (set_int(l, ZMQ_IMMEDIATE, 1) ||
	    set_int(l, ZMQ_RECONNECT_IVL, RECONNECT_DELAY_MS) ||
	    set_int(l, ZMQ_RECONNECT_IVL_MAX, RECONNECT_DELAY_MAX_MS))
		return -1;
	/*
	 * No limit on the receive queue: all that a peer sends on this socket
	 * answers requests of this node.
	 */
	return set_int(l, ZMQ_RCVHWM, 0);
}

static int set_options(struct bb_transport *t, struct bb_link *l)
{
	switch (l->kind) {
	case BB_LINK_ROUTER:
		return set_common(t, l) || set_router(t, l);
	case BB_LINK_DEALER:
		return set_common(t, l) || set_dealer(l);
	default:
		return set_int(l, ZMQ_LINGER, 0);
	}
}

struct bb_link *bb_link_new(struct bb_transport *t, enum bb_link_kind kind,
			    struct bb_error *err)
{
	static const int types[] = { ZMQ_ROUTER, ZMQ_DEALER, ZMQ_REP };
	struct bb_link *l = g_new0(struct bb_link, 1);
	struct epoll_event event = { .events = EPOLLIN, .data.ptr = l };
	size_t size = sizeof(l->fd);

	l->kind = kind;
	l->fd = -1;
	l->last_traffic_us = t->now_us;
	l->heard_us = bb_clock_now_us();
	l->socket = zmq_socket(t->context, types[kind]);
	if (!l->socket || set_options(t, l) ||
	    zmq_getsockopt(l->socket, ZMQ_FD, &l->fd, &size) ||
	    epoll_ctl(t->epoll_fd, EPOLL_CTL_ADD, l->fd, &event)) {
		bb_error_set(err, BB_ERROR_IO,
			     "cannot create a ZeroMQ socket: %s",
			     zmq_strerror(errno));
		bb_link_delete(t, l);
		return NULL;
	}
	bb_link_mark_ready(t, l);
	return l;
}

void bb_link_delete(struct bb_transport *t, struct bb_link *l)
{
	if (!l)
		return;
	if (l->in_ready_queue)
		g_queue_remove(&t->ready, l);
	if (l->fd >= 0)
		epoll_ctl(t->epoll_fd, EPOLL_CTL_DEL, l->fd, NULL);
	if (l->socket)
		zmq_close(l->socket);
	g_free(l);
}

int bb_link_connect(struct bb_transport *t, struct bb_link *l,
		    const struct bb_peer *p, struct bb_error *err)
{
	if (t->o.curve_secret_key && !*p->curve_key)
		return bb_error_set(err, BB_ERROR_INVALID,
				    "peer %s has no CURVE public key",
				    p->endpoint);
	if (t->o.curve_secret_key &&
	    (zmq_setsockopt(l->socket, ZMQ_CURVE_SERVERKEY, p->curve_key,
			    sizeof(p->curve_key)) ||
	     zmq_setsockopt(l->socket, ZMQ_CURVE_PUBLICKEY, t->public_key,
			    sizeof(t->public_key)) ||
	     zmq_setsockopt(l->socket, ZMQ_CURVE_SECRETKEY, t->secret_key,
			    sizeof(t->secret_key))))
		return bb_error_set(err, BB_ERROR_INVALID,
				    "peer %s has an invalid CURVE public key",
				    p->endpoint);
	if (zmq_connect(l->socket, p->endpoint))
		return bb_error_set(err, BB_ERROR_IO,
				    "cannot connect to %s: %s", p->endpoint,
				    zmq_strerror(errno));
	return 0;
}

void bb_link_mark_ready(struct bb_transport *t, struct bb_link *l)
{
	if (l->in_ready_queue)
		return;
	l->in_ready_queue = true;
	g_queue_push_tail(&t->ready, l);
}
