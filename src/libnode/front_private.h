/*
 * State of the front, shared by front.c (connections and answers) and
 * front_admit.c (what a request asks for and whether it may).
 */
#ifndef BB_NODE_FRONT_PRIVATE_H
#define BB_NODE_FRONT_PRIVATE_H

#include <microhttpd.h>

#include "libnode/front.h"
#include "libnode/listener.h"

struct bb_front {
	struct bb_front_options o;
	char *address;
	struct MHD_Daemon *daemon;
	struct bb_listener *listener;
	uint64_t next_sequence;
	unsigned int open_requests;
	unsigned int suspended_calls;
	int draining;
	int refusing_requests;
};

/**
 * bb_front_admit() - check the head of a request.
 * @f: front
 * @c: call with method and target; gets route, client account and headers
 *
 * Return: BB_REASON_NONE, or why the request is refused.
 */
enum bb_reason bb_front_admit(struct bb_front *f, struct bb_call *c);

/**
 * bb_front_admit_again() - check a request when its body is complete.
 * @f: front
 * @c: call that was admitted before
 *
 * A body may take as long as the route's timeout. A key that was revoked or a
 * configuration that ceased to be current meanwhile refuses the request, and so
 * does a body with the key in it.
 *
 * Return: BB_REASON_NONE, or why the request is refused.
 */
enum bb_reason bb_front_admit_again(struct bb_front *f, struct bb_call *c);

#endif
