/*
 * State of the front, shared by front.c (connections and answers) and
 * front_admit.c (admission of requests).
 */
#ifndef BB_NODE_FRONT_PRIVATE_H
#define BB_NODE_FRONT_PRIVATE_H

#include <glib.h>
#include <microhttpd.h>

#include "libnode/callers.h"
#include "libnode/front.h"
#include "libnode/listener.h"

/**
 * struct bb_front - state of a front; the threads of libmicrohttpd share it.
 * @o: options
 * @address: copy of the address to listen on
 * @daemon: libmicrohttpd's server
 * @listener: accepts connections for @daemon
 * @last_sequence: sequence number of the last call; atomic
 * @callers: open connections
 * @open_connections: number of connections accepted and not yet closed; atomic
 * @open_requests: requests received and not yet answered; atomic
 * @suspended_calls: calls submitted to the traffic thread whose answer is not
 *                   queued yet; atomic
 * @draining: connections are closed after their next response; atomic
 * @refusing_requests: requests are refused as "stopping"; atomic
 */
struct bb_front {
	struct bb_front_options o;
	char *address;
	struct MHD_Daemon *daemon;
	struct bb_listener *listener;
	uint64_t last_sequence;
	struct bb_callers *callers;
	unsigned int open_connections;
	unsigned int open_requests;
	unsigned int suspended_calls;
	int draining;
	int refusing_requests;
};

/**
 * bb_front_body_max() - most bytes of the body of a request: the limit of its route,
 * and what nodes pass on to each other.
 */
static inline size_t bb_front_body_max(const struct bb_call *c)
{
	return MIN(bb_call_route(c)->max_body_bytes, BB_REQUEST_BODY_MAX);
}

/**
 * bb_front_admit() - check request line and headers.
 * @f: front
 * @c: call with method and target; its route, client account, deadline and
 *     headers are set
 *
 * Return: BB_REASON_NONE, or why the request is refused.
 */
enum bb_reason bb_front_admit(struct bb_front *f, struct bb_call *c);

/**
 * bb_front_admit_again() - check a request again when its body is complete.
 * @f: front
 * @c: call that was admitted before
 *
 * A body may take as long as the route's timeout. The request is refused if its
 * key was revoked or the configuration ceased to be current in that time, or
 * if the body contains the key.
 *
 * Return: BB_REASON_NONE, or why the request is refused.
 */
enum bb_reason bb_front_admit_again(struct bb_front *f, struct bb_call *c);

#endif
