/*
 * Operator listener: an HTTP server for metrics, health, readiness and status.
 * It only answers GET requests and changes nothing.
 */
#ifndef BB_NODE_ADMIN_H
#define BB_NODE_ADMIN_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/error.h"

struct bb_admin;

/**
 * struct bb_admin_options - options of the operator listener.
 * @address: IP address to listen on
 * @port: TCP port
 * @ready_path: path of the readiness check, in addition to /readyz
 * @ready: whether the node is ready to serve; sets @why to a short reason if
 *         not
 * @document: returns the JSON text for a path such as "/status", which the
 *            listener frees with free(), or NULL for an unknown path; called
 *            on the listener's thread. @key and @value are the first argument
 *            of the query, or NULL
 * @data: passed to the callbacks
 */
struct bb_admin_options {
	const char *address;
	uint16_t port;
	const char *ready_path;
	bool (*ready)(void *data, const char **why);
	char *(*document)(void *data, const char *path, const char *key,
			  const char *value);
	void *data;
};

/**
 * bb_admin_new() - listen and start the thread that answers operators.
 * @o: options; the strings must stay valid until bb_admin_delete()
 * @err: set on failure
 */
struct bb_admin *bb_admin_new(const struct bb_admin_options *o,
			      struct bb_error *err);

/**
 * bb_admin_delete() - stop listening and free.
 * @a: operator listener, may be NULL
 */
void bb_admin_delete(struct bb_admin *a);

#endif
