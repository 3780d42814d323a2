/* Operator listener: metrics, health, readiness and status over HTTP. */
#ifndef BB_NODE_ADMIN_H
#define BB_NODE_ADMIN_H

#include <stdbool.h>
#include <stdint.h>

#include "baobabward/error.h"

struct bb_admin;

/**
 * struct bb_admin_options - what the listener needs.
 * @address: IP number to listen on
 * @port: TCP port
 * @ready_path: path of the readiness check beside /readyz
 * @ready: whether the node serves; @why is set to a short reason if not
 * @document: JSON of a path such as "/status" that the caller frees with
 *            free(), or NULL for an unknown path; called on any thread.
 *            @key and @value are the first argument of the query, or NULL
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

struct bb_admin *bb_admin_new(const struct bb_admin_options *o,
			      struct bb_error *err);
void bb_admin_delete(struct bb_admin *a);

#endif
